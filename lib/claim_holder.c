#include "libclaim.h"

#include <string.h>

static void free_agent (QgClaims *claims, QgClaimAgent *agent);

guint
qg_claim_workspace_count (const QgClaims *claims, const char *workspace)
{
  const QgClaimWorkspace *record
      = g_hash_table_lookup (claims->workspaces_by_name, workspace);

  return record == NULL ? 0 : record->unreleased_rows;
}

gboolean
qg_claim_next_holder (const QgClaims *claims, gconstpointer *cursor,
                      QgClaimHolder *holder)
{
  const GList *link = *cursor;

  link = link == NULL ? claims->holders.head : link->next;
  for (; link != NULL; link = link->next)
    {
      const QgClaimAgent *agent = link->data;

      if (agent->running == 0)
        continue;
      *cursor = link;
      *holder = (QgClaimHolder){ agent->name, agent->incarnation,
                                 agent->address, agent->running };
      return TRUE;
    }
  return FALSE;
}

QgClaimAgent *
qg_claim_get_agent (QgClaims *claims, const char *name, guint64 incarnation,
                    const char *address)
{
  QgClaimAgent key = { .name = (char *)name, .incarnation = incarnation };
  QgClaimAgent *agent = g_hash_table_lookup (claims->agents, &key);

  if (agent != NULL && agent->address[0] == '\0')
    {
      g_free (agent->address);
      agent->address = g_strdup (address);
    }
  if (agent != NULL)
    {
      if (agent->idle)
        {
          g_queue_unlink (&claims->idle, &agent->link);
          g_queue_push_tail_link (&claims->holders, &agent->link);
          agent->idle = FALSE;
        }
      return agent;
    }
  agent = g_new0 (QgClaimAgent, 1);
  agent->link.data = agent;
  agent->name = g_strdup (name);
  agent->incarnation = incarnation;
  agent->address = g_strdup (address);
  g_hash_table_add (claims->agents, agent);
  g_queue_push_tail_link (&claims->holders, &agent->link);
  return agent;
}

QgClaimWorkspace *
qg_claim_get_workspace (QgClaims *claims, const char *name)
{
  QgClaimWorkspace *record
      = g_hash_table_lookup (claims->workspaces_by_name, name);

  if (record != NULL)
    return record;
  record = g_new0 (QgClaimWorkspace, 1);
  record->link.data = record;
  record->name = g_strdup (name);
  g_hash_table_insert (claims->workspaces_by_name, record->name, record);
  g_queue_push_tail_link (&claims->workspaces, &record->link);
  return record;
}

void
qg_claim_update_idle (QgClaims *claims, QgClaimAgent *agent)
{
  if (agent->rows > 0 || agent->idle)
    return;
  g_queue_unlink (&claims->holders, &agent->link);
  g_queue_push_tail_link (&claims->idle, &agent->link);
  agent->idle = TRUE;
  agent->idle_since = claims->now;
}

void
qg_claim_free_empty_workspace (QgClaims *claims, QgClaimWorkspace *workspace)
{
  if (workspace->rows > 0)
    return;
  g_hash_table_remove (claims->workspaces_by_name, workspace->name);
  g_queue_unlink (&claims->workspaces, &workspace->link);
  g_free (workspace->name);
  g_free (workspace);
}

void
qg_claim_free_idle_agents (QgClaims *claims, QgTime before)
{
  while (claims->idle.head != NULL)
    {
      QgClaimAgent *agent = claims->idle.head->data;

      if (agent->idle_since > before)
        return;
      free_agent (claims, agent);
    }
}

void
qg_claim_drop_unused (QgClaims *claims)
{
  GList *next;

  for (GList *l = claims->holders.head; l != NULL; l = next)
    {
      next = l->next;
      qg_claim_update_idle (claims, l->data);
    }
  for (GList *l = claims->workspaces.head; l != NULL; l = next)
    {
      next = l->next;
      qg_claim_free_empty_workspace (claims, l->data);
    }
}

guint
qg_claim_agent_hash (gconstpointer agent)
{
  const QgClaimAgent *a = agent;

  return g_str_hash (a->name) ^ g_int64_hash (&a->incarnation);
}

gboolean
qg_claim_agent_equal (gconstpointer a, gconstpointer b)
{
  const QgClaimAgent *left = a;
  const QgClaimAgent *right = b;

  return left->incarnation == right->incarnation
         && strcmp (left->name, right->name) == 0;
}

static void
free_agent (QgClaims *claims, QgClaimAgent *agent)
{
  g_hash_table_remove (claims->agents, agent);
  g_queue_unlink (&claims->idle, &agent->link);
  g_free (agent->name);
  g_free (agent->address);
  g_free (agent);
}
