#include "libanswer.h"

#include "event.h"

#include <string.h>

static QgAnswer *find_selected (const QgAnswers *answers,
                                const QgAnswerAttach *attach);
static QgStatus check_access (const QgAnswer *answer,
                              const QgAnswerAttach *attach, QgErr *err);
static GBytes *slice_at (const QgAnswer *answer, guint64 offset, gsize max_len);

char *
qg_answer_origin_name (const QgAnswerOrigin *origin)
{
  return g_strdup_printf ("%" G_GINT64_MODIFIER "x/%" G_GINT64_MODIFIER "x/%s",
                          origin->incarnation, origin->id, origin->entry);
}

char *
qg_answer_key_name (const char *workspace, const char *service, const char *key)
{
  return g_strdup_printf ("%zu:%s%zu:%s%s", strlen (workspace), workspace,
                          strlen (service), service, key);
}

QgAnswer *
qg_answer_find (const QgAnswers *answers, const QgAnswerOrigin *origin)
{
  char *name = qg_answer_origin_name (origin);
  QgAnswer *answer = g_hash_table_lookup (answers->by_origin, name);

  g_free (name);
  return answer;
}

QgAnswer *
qg_answer_find_key (const QgAnswers *answers, const char *workspace,
                    const char *service, const char *key)
{
  char *name = qg_answer_key_name (workspace, service, key);
  QgAnswer *answer = g_hash_table_lookup (answers->by_key, name);

  g_free (name);
  return answer;
}

QgAnswerReader *
qg_answer_find_reader (const QgAnswers *answers, const QgAnswerOrigin *origin)
{
  char *name = qg_answer_origin_name (origin);
  QgAnswerReader *reader = g_hash_table_lookup (answers->readers, name);

  g_free (name);
  return reader;
}

QgAnswerReader *
qg_answer_attach (QgAnswers *answers, const QgAnswerAttach *attach, QgErr *err)
{
  QgAnswer *answer = find_selected (answers, attach);
  QgAnswerReader *old;

  if (answer == NULL)
    {
      qg_fail (err, QG_E_NOT_FOUND,
               "the answer is not available here, or no longer; ask the "
               "service whether the work was done");
      return NULL;
    }
  if (check_access (answer, attach, err) != QG_OK)
    return NULL;
  old = qg_answer_find_reader (answers, &attach->reader);
  if (old != NULL)
    qg_answer_free_reader (old);
  return qg_answer_add_reader (answer, &attach->reader, attach->offset,
                               attach->user);
}

QgAnswerReader *
qg_answer_add_reader (QgAnswer *answer, const QgAnswerOrigin *origin,
                      guint64 offset, gpointer user)
{
  QgAnswerReader *reader = g_new0 (QgAnswerReader, 1);

  reader->answer = answer;
  reader->entry = g_strdup (origin->entry);
  reader->origin = *origin;
  reader->origin.entry = reader->entry;
  reader->name = qg_answer_origin_name (origin);
  reader->sent = reader->confirmed = offset;
  reader->user = user;
  g_hash_table_insert (answer->table->readers, reader->name, reader);
  g_ptr_array_add (answer->readers, reader);
  return reader;
}

void
qg_answer_free_reader (QgAnswerReader *reader)
{
  g_ptr_array_remove (reader->answer->readers, reader);
  g_hash_table_remove (reader->answer->table->readers, reader->name);
  g_free (reader->name);
  g_free (reader->entry);
  g_free (reader);
}

void
qg_answer_detach (QgAnswerReader *reader, QgTime now)
{
  QgAnswer *answer = reader->answer;

  qg_answer_free_reader (reader);
  if (!answer->finished)
    answer->idle_since = now;
  /* An answer that has neither a key nor readers keeps its bytes, so that the
   * agent stops reading from the target when the window is full. */
  if (answer->readers->len > 0 || answer->key != NULL)
    qg_answer_trim (answer);
}

void
qg_answers_detach_user (QgAnswers *answers, gconstpointer user, QgTime now)
{
  GList *readers = g_hash_table_get_values (answers->readers);

  for (GList *l = readers; l != NULL; l = l->next)
    if (((QgAnswerReader *)l->data)->user == user)
      qg_answer_detach (l->data, now);
  g_list_free (readers);
}

QgAnswer *
qg_answer_reader_answer (const QgAnswerReader *reader)
{
  return reader->answer;
}

gpointer
qg_answer_reader_user (const QgAnswerReader *reader)
{
  return reader->user;
}

const QgAnswerOrigin *
qg_answer_reader_origin (const QgAnswerReader *reader)
{
  return &reader->origin;
}

gboolean
qg_answer_reader_joined (const QgAnswerReader *reader)
{
  return !g_str_equal (reader->name, reader->answer->origin);
}

QgAnswerReader *
qg_answer_nth_reader (const QgAnswer *answer, guint index)
{
  if (index >= answer->readers->len)
    return NULL;
  return g_ptr_array_index (answer->readers, index);
}

guint64
qg_answer_confirmed (const QgAnswer *answer)
{
  guint64 lowest = answer->length;

  if (answer->readers->len == 0)
    return answer->base;
  for (guint i = 0; i < answer->readers->len; i++)
    {
      const QgAnswerReader *reader = g_ptr_array_index (answer->readers, i);

      lowest = MIN (lowest, reader->confirmed);
    }
  return lowest;
}

void
qg_answer_confirm (QgAnswerReader *reader, guint64 offset)
{
  if (offset <= reader->confirmed || offset > reader->sent)
    return;
  reader->confirmed = offset;
  qg_answer_trim (reader->answer);
}

gboolean
qg_answer_next (QgAnswerReader *reader, QgAnswerPiece *piece)
{
  const QgAnswer *answer = reader->answer;
  gsize room = answer->table->options.window
               - (gsize)(reader->sent - reader->confirmed);

  *piece = (QgAnswerPiece){ QG_ANSWER_HEAD, reader->sent, NULL };
  if (reader->end_sent)
    return FALSE;
  if (!reader->head_sent && answer->head != NULL)
    {
      reader->head_sent = TRUE;
      piece->bytes = g_bytes_ref (answer->head);
      return TRUE;
    }
  if (answer->head != NULL && reader->sent < answer->length)
    {
      piece->kind = QG_ANSWER_DATA;
      piece->bytes = slice_at (answer, reader->sent, room);
      if (piece->bytes == NULL)
        return FALSE;
      reader->sent += g_bytes_get_size (piece->bytes);
      return TRUE;
    }
  if (!answer->finished)
    return FALSE;
  reader->end_sent = TRUE;
  piece->kind = answer->failed ? QG_ANSWER_FAIL : QG_ANSWER_END;
  piece->bytes = answer->tail == NULL ? NULL : g_bytes_ref (answer->tail);
  return TRUE;
}

static QgAnswer *
find_selected (const QgAnswers *answers, const QgAnswerAttach *attach)
{
  QgAnswerReader *reader;

  if (attach->key != NULL && attach->key[0] != '\0')
    return qg_answer_find_key (answers, attach->workspace, attach->service,
                               attach->key);
  if (attach->original.entry == NULL)
    return NULL;
  reader = qg_answer_find_reader (answers, &attach->original);
  if (reader != NULL)
    return reader->answer;
  return qg_answer_find (answers, &attach->original);
}

static QgStatus
check_access (const QgAnswer *answer, const QgAnswerAttach *attach, QgErr *err)
{
  if (strcmp (answer->workspace, attach->workspace) != 0
      || strcmp (answer->service, attach->service) != 0)
    return qg_fail (err, QG_E_FORBIDDEN,
                    "the answer belongs to another workspace or service");
  if (attach->body_hash_len != g_bytes_get_size (answer->body_hash)
      || memcmp (attach->body_hash, g_bytes_get_data (answer->body_hash, NULL),
                 attach->body_hash_len)
             != 0)
    return qg_fail (err, QG_E_CONFLICT,
                    "the key was used with another request body; use a new "
                    "key for new work");
  if (attach->offset < answer->base || attach->offset > answer->length)
    return qg_fail (err, QG_E_UNKNOWN,
                    "the answer is kept only from byte %" G_GUINT64_FORMAT
                    "; ask the service whether the work was done",
                    answer->base);
  return QG_OK;
}

/* Returns at most @max_len bytes of one chunk, starting at @offset; NULL if no
 * chunk holds the byte at @offset, or @max_len is 0. */
static GBytes *
slice_at (const QgAnswer *answer, guint64 offset, gsize max_len)
{
  for (GList *l = answer->chunks.head; l != NULL && max_len > 0; l = l->next)
    {
      const QgAnswerChunk *chunk = l->data;
      gsize len = g_bytes_get_size (chunk->bytes);
      gsize from;

      if (chunk->offset + len <= offset)
        continue;
      if (!qg_check_invariant (chunk->offset <= offset, QG_EV_INV_ANSWER,
                               "byte %" G_GUINT64_FORMAT
                               " of the answer is missing from its buffer",
                               offset))
        return NULL;
      from = (gsize)(offset - chunk->offset);
      return g_bytes_new_from_bytes (chunk->bytes, from,
                                     MIN (len - from, max_len));
    }
  return NULL;
}
