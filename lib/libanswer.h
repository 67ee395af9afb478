/**
 * @file libanswer.h
 * What the files of the held answers share.
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
  char *origin; /* its key in QgAnswers.by_origin */
  char *key;    /* its key in QgAnswers.by_key, or NULL */
  char *workspace;
  char *service;
  GBytes *body_hash;
  GBytes *head;
  GBytes *tail;
  gboolean finished;
  gboolean failed;
  gboolean whole; /* all bytes are kept */
  GQueue chunks;  /* of QgAnswerChunk, from base to length */
  guint64 base;   /* first byte that is kept */
  guint64 length; /* bytes that came */
  GPtrArray *readers;
  QgTime unread_at; /* when it was finished, or lost its last reader */
  gpointer user;
};

struct _QgAnswerReader
{
  QgAnswer *answer;
  char *name; /* its key in QgAnswers.readers */
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
  GHashTable *by_origin; /* origin to QgAnswer */
  GHashTable *by_key;
  GHashTable *readers; /* origin to QgAnswerReader */
  GQueue running;
  GQueue finished; /* in the order in which they ended */
  gsize bytes;
  gsize finished_bytes;
};

/* Names for the tables, freed by the caller. */
char *qg_answer_origin_name (const QgAnswerOrigin *origin);
char *qg_answer_key_name (const char *workspace, const char *service,
                          const char *key);

/* Adds a reader at @offset. */
QgAnswerReader *qg_answer_add_reader (QgAnswer *answer,
                                      const QgAnswerOrigin *origin,
                                      guint64 offset, gpointer user);

/* Takes a reader away and frees it. */
void qg_answer_free_reader (QgAnswerReader *reader);

/* Drops the bytes that nobody needs any more. */
void qg_answer_trim (QgAnswer *answer);

/* The lowest offset that a reader has confirmed; base without readers. */
guint64 qg_answer_confirmed (const QgAnswer *answer);

G_END_DECLS

#endif
