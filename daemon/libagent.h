/**
 * @file libagent.h
 * What the files of the agent family share: agent.c (links and pulls),
 * agent_job.c (one request) and agent_probe.c (the target's health).
 */
#ifndef QG_LIBAGENT_H
#define QG_LIBAGENT_H

#include "agent.h"
#include "board.h"
#include "lib/meter.h"
#include "lib/schedule.h"
#include "peer.h"
#include "run.h"
#include "trace.h"
#include "uplink.h"

#include <libsoup/soup.h>

/** A connection to one entry. */
typedef struct
{
  QgAgent *agent;
  QgPeer *peer;
  char *name; /* of the entry, from the directory */
  char *address;
  guint number; /* in the scheduler while the peer is up, else 0 */
} QgAgentLink;

typedef struct QgAgentProbe QgAgentProbe;

struct QgAgent
{
  QgSettings *settings;
  const QgSettingsAgent *own;
  guint64 incarnation;
  QgPeerHub *hub;
  QgBoard *board;
  QgUplink *uplink;
  QgSched *sched;
  SoupSession *session;
  QgTrace *trace; /* NULL when off */
  QgAgentProbe *probe;
  GHashTable *links;      /* entry name to QgAgentLink */
  GHashTable *by_number;  /* scheduler's number to QgAgentLink */
  GHashTable *workspaces; /* names whose weight the scheduler knows */
  GHashTable *jobs;       /* of QgAgentJob, a set */
  QgServiceKind kind;
  gboolean draining;
  char *boot_id;
  guint wakeup_timer;
  guint report_timer;
};

typedef struct QgAgentJob QgAgentJob;

/** Sends what the scheduler wants to send, and sleeps until it wants more. */
void qg_agent_pump (QgAgent *agent);

/** The target's answers carry a boot id; a new one means that it restarted. */
void qg_agent_see_boot_id (QgAgent *agent, SoupMessageHeaders *headers);

/** A request came from the entry of @a link. */
void qg_agent_job_assign (QgAgentLink *link, const Qg__Assign *assign);

/** Messages of an entry about a request. */
void qg_agent_job_cancel (QgAgentLink *link, guint64 request_id);
void qg_agent_job_window (QgAgentLink *link, const Qg__Window *window);

/** The link of running requests broke. */
void qg_agent_job_link_down (QgAgentLink *link);

/** Starts probing the target; results go to the scheduler. */
QgAgentProbe *qg_agent_probe_new (QgAgent *agent);
void qg_agent_probe_free (QgAgentProbe *probe);

#endif
