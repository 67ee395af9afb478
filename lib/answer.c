#include "libanswer.h"

#include "event.h"

#include <string.h>

static void set_defaults (QgAnswerOptions *options);
static void finish (QgAnswer *answer, GBytes *tail, QgTime now);
static void free_chunk (gpointer data);
static gboolean has_pending_reader (const QgAnswer *answer);

QgAnswers *
qg_answers_new (const QgAnswerOptions *options)
{
  QgAnswers *answers = g_new0 (QgAnswers, 1);

  answers->refs = 1;
  if (options != NULL)
    answers->options = *options;
  set_defaults (&answers->options);
  answers->by_origin = g_hash_table_new (g_str_hash, g_str_equal);
  answers->by_key = g_hash_table_new (g_str_hash, g_str_equal);
  answers->readers = g_hash_table_new (g_str_hash, g_str_equal);
  return answers;
}

QgAnswers *
qg_answers_ref (QgAnswers *answers)
{
  answers->refs++;
  return answers;
}

void
qg_answers_unref (QgAnswers *answers)
{
  if (answers == NULL || --answers->refs > 0)
    return;
  while (answers->running.head != NULL)
    qg_answer_drop (answers->running.head->data);
  while (answers->finished.head != NULL)
    qg_answer_drop (answers->finished.head->data);
  g_hash_table_unref (answers->by_origin);
  g_hash_table_unref (answers->by_key);
  g_hash_table_unref (answers->readers);
  g_free (answers);
}

QgAnswer *
qg_answer_begin (QgAnswers *answers, const QgAnswerStart *start, gpointer user)
{
  gboolean keyed = start->key != NULL && start->key[0] != '\0';
  QgAnswer *answer;

  if (qg_answer_find (answers, &start->origin) != NULL
      || qg_answer_find_reader (answers, &start->origin) != NULL)
    return NULL;
  if (keyed
      && qg_answer_find_key (answers, start->workspace, start->service,
                             start->key)
             != NULL)
    return NULL;
  answer = g_new0 (QgAnswer, 1);
  answer->link.data = answer;
  answer->table = answers;
  answer->origin = qg_answer_origin_name (&start->origin);
  answer->workspace = g_strdup (start->workspace);
  answer->service = g_strdup (start->service);
  answer->body_hash = g_bytes_new (start->body_hash, start->body_hash_len);
  answer->keep_all = keyed;
  answer->readers = g_ptr_array_new ();
  answer->user = start->user;
  g_hash_table_insert (answers->by_origin, answer->origin, answer);
  if (keyed)
    {
      answer->key
          = qg_answer_key_name (start->workspace, start->service, start->key);
      g_hash_table_insert (answers->by_key, answer->key, answer);
    }
  g_queue_push_tail_link (&answers->running, &answer->link);
  qg_answer_add_reader (answer, &start->origin, 0, user);
  return answer;
}

void
qg_answer_set_head (QgAnswer *answer, GBytes *head)
{
  g_clear_pointer (&answer->head, g_bytes_unref);
  answer->head = g_bytes_ref (head);
}

void
qg_answer_append (QgAnswer *answer, GBytes *data)
{
  QgAnswerChunk *chunk;

  if (answer->finished || g_bytes_get_size (data) == 0)
    return;
  chunk = g_new (QgAnswerChunk, 1);
  chunk->offset = answer->length;
  chunk->bytes = g_bytes_ref (data);
  g_queue_push_tail (&answer->chunks, chunk);
  answer->length += g_bytes_get_size (data);
  answer->table->bytes += g_bytes_get_size (data);
  if (answer->length > answer->table->options.answer_bytes)
    answer->keep_all = FALSE;
  qg_answer_trim (answer);
}

void
qg_answer_end (QgAnswer *answer, GBytes *tail, QgTime now)
{
  if (answer->finished)
    return;
  finish (answer, tail, now);
}

void
qg_answer_fail (QgAnswer *answer, GBytes *fail, QgTime now)
{
  if (answer->finished)
    return;
  answer->failed = TRUE;
  finish (answer, fail, now);
}

void
qg_answer_drop (QgAnswer *answer)
{
  QgAnswers *answers = answer->table;
  gsize buffered = (gsize)(answer->length - answer->base);

  while (answer->readers->len > 0)
    qg_answer_free_reader (g_ptr_array_index (answer->readers, 0));
  g_queue_unlink (answer->finished ? &answers->finished : &answers->running,
                  &answer->link);
  answers->bytes -= buffered;
  answers->finished_bytes -= answer->finished ? buffered : 0;
  g_hash_table_remove (answers->by_origin, answer->origin);
  if (answer->key != NULL)
    g_hash_table_remove (answers->by_key, answer->key);
  g_queue_clear_full (&answer->chunks, free_chunk);
  g_ptr_array_unref (answer->readers);
  g_clear_pointer (&answer->head, g_bytes_unref);
  g_clear_pointer (&answer->tail, g_bytes_unref);
  g_bytes_unref (answer->body_hash);
  g_free (answer->origin);
  g_free (answer->key);
  g_free (answer->workspace);
  g_free (answer->service);
  g_free (answer);
}

gboolean
qg_answer_has_room (const QgAnswer *answer)
{
  if (answer->keep_all || (answer->key != NULL && answer->readers->len == 0))
    return TRUE;
  return answer->length - qg_answer_confirmed (answer)
         < answer->table->options.window;
}

gboolean
qg_answer_has_readers (const QgAnswer *answer)
{
  return answer->readers->len > 0;
}

gboolean
qg_answer_finished (const QgAnswer *answer)
{
  return answer->finished;
}

gpointer
qg_answer_user (const QgAnswer *answer)
{
  return answer->user;
}

void
qg_answer_set_user (QgAnswer *answer, gpointer user)
{
  answer->user = user;
}

void
qg_answer_trim (QgAnswer *answer)
{
  guint64 limit = answer->base;
  gsize window = answer->table->options.window;

  if (answer->keep_all)
    return;
  if (answer->readers->len > 0)
    limit = qg_answer_confirmed (answer);
  else if (answer->key != NULL && answer->length > window)
    limit = MAX (limit, answer->length - window);
  while (answer->chunks.head != NULL)
    {
      QgAnswerChunk *chunk = answer->chunks.head->data;
      gsize len = g_bytes_get_size (chunk->bytes);

      if (chunk->offset + len > limit)
        break;
      answer->base = chunk->offset + len;
      answer->table->bytes -= len;
      if (answer->finished)
        answer->table->finished_bytes -= len;
      free_chunk (g_queue_pop_head (&answer->chunks));
    }
}

void
qg_answers_expire (QgAnswers *answers, QgTime now)
{
  GList *next;

  for (GList *l = answers->finished.head; l != NULL; l = next)
    {
      QgAnswer *answer = l->data;
      gboolean expired = now - answer->idle_since >= answers->options.hold_time;

      next = l->next;
      if (!expired && answers->finished_bytes <= answers->options.hold_bytes)
        break;
      if (!has_pending_reader (answer))
        qg_answer_drop (answer);
    }
}

QgAnswer *
qg_answers_find_orphan (const QgAnswers *answers, QgTime now)
{
  for (GList *l = answers->running.head; l != NULL; l = l->next)
    {
      QgAnswer *answer = l->data;

      if (answer->key == NULL && answer->readers->len == 0
          && now - answer->idle_since >= answers->options.orphan_time)
        return answer;
    }
  return NULL;
}

guint
qg_answers_unsent_count (const QgAnswers *answers)
{
  guint sum = 0;

  for (GList *l = answers->finished.head; l != NULL; l = l->next)
    sum += has_pending_reader (l->data) ? 1 : 0;
  return sum;
}

gsize
qg_answers_bytes (const QgAnswers *answers)
{
  return answers->bytes;
}

guint
qg_answers_count (const QgAnswers *answers)
{
  return answers->running.length + answers->finished.length;
}

static void
set_defaults (QgAnswerOptions *options)
{
  if (options->hold_time == 0)
    options->hold_time = QG_ANSWER_HOLD_TIME;
  if (options->orphan_time == 0)
    options->orphan_time = QG_ANSWER_ORPHAN_TIME;
  if (options->hold_bytes == 0)
    options->hold_bytes = QG_ANSWER_HOLD_BYTES;
  if (options->answer_bytes == 0)
    options->answer_bytes = QG_ANSWER_BYTES;
  if (options->window == 0)
    options->window = QG_ANSWER_WINDOW;
}

static void
finish (QgAnswer *answer, GBytes *tail, QgTime now)
{
  QgAnswers *answers = answer->table;

  answer->finished = TRUE;
  answer->idle_since = now;
  if (tail != NULL)
    answer->tail = g_bytes_ref (tail);
  g_queue_unlink (&answers->running, &answer->link);
  g_queue_push_tail_link (&answers->finished, &answer->link);
  answers->finished_bytes += (gsize)(answer->length - answer->base);
}

static void
free_chunk (gpointer data)
{
  QgAnswerChunk *chunk = data;

  g_bytes_unref (chunk->bytes);
  g_free (chunk);
}

/* Whether at least one reader has not been sent the last piece yet. */
static gboolean
has_pending_reader (const QgAnswer *answer)
{
  for (guint i = 0; i < answer->readers->len; i++)
    if (!((const QgAnswerReader *)g_ptr_array_index (answer->readers, i))
             ->end_sent)
      return TRUE;
  return FALSE;
}
