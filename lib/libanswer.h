/**
 * @file libanswer.h
 * Types and functions shared by answer.c and answer_reader.c.
 */
#ifndef QG_LIBANSWER_H
#define QG_LIBANSWER_H

#include "answer.h"

G_BEGIN_DECLS

typedef struct
{
  guint64 offset;
  GBytes *bytes;
} QgAnswerChunk;

struct _QgAnswer
{
  GList link; /* in QgAnswers.running or .finished */
  QgAnswers *table;
  char *origin; /* key of the answer in QgAnswers.by_origin */
  char *key;    /* key of the answer in QgAnswers.by_key, or NULL */
  char *workspace;
  char *service;
  GBytes *body_hash;
  GBytes *head;
  GBytes *tail;
  gboolean finished;
  gboolean failed;
  gboolean keep_all; /* no byte of the body is dropped */
  GQueue chunks;     /* of QgAnswerChunk, from base to length */
  guint64 base;      /* offset of the first byte that is kept */
  guint64 length;    /* body bytes received */
  GPtrArray *readers;
  QgTime idle_since; /* when it finished or a reader was last removed */
  gpointer user;
};

struct _QgAnswerReader
{
  QgAnswer *answer;
  char *name; /* key of the reader in QgAnswers.readers */
  char *entry;
  QgAnswerOrigin origin;
  guint64 sent;
  guint64 confirmed;
  gboolean head_sent;
  gboolean end_sent;
  gpointer user;
};

struct _QgAnswers
{
  int refs;
  QgAnswerOptions options;
  GHashTable *by_origin; /* name of an origin to QgAnswer */
  GHashTable *by_key;    /* name of a key to QgAnswer */
  GHashTable *readers;   /* name of an origin to QgAnswerReader */
  GQueue running;
  GQueue finished; /* in the order in which the answers ended */
  gsize bytes;
  gsize finished_bytes;
};

/* Keys of the hash tables, freed by the caller. */
char *qg_answer_origin_name (const QgAnswerOrigin *origin);
char *qg_answer_key_name (const char *workspace, const char *service,
                          const char *key);

/* Adds a reader at @offset. */
QgAnswerReader *qg_answer_add_reader (QgAnswer *answer,
                                      const QgAnswerOrigin *origin,
                                      guint64 offset, gpointer user);

/* Removes and frees a reader. */
void qg_answer_free_reader (QgAnswerReader *reader);

/* Drops the chunks that every reader has confirmed. If an answer with a key has
 * no readers, drops the chunks before the last window of the body. */
void qg_answer_trim (QgAnswer *answer);

/* The offset up to which all readers have confirmed the body; base if the
 * answer has no readers. */
guint64 qg_answer_confirmed (const QgAnswer *answer);

G_END_DECLS

#endif
