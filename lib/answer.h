/**
 * @file answer.h
 * The answers that an agent produces and holds, so that a caller who was away
 * or an entry whose link broke still gets the whole of it.
 *
 * An answer is known by its origin (entry, its incarnation, request) and, for
 * claimed work, by (workspace, service, key). Any number of readers follow it;
 * each gets its pieces by offset, without gap or repeat, within a window of
 * bytes that it has not yet confirmed. A reader of another workspace or with
 * another body is refused.
 *
 * Memory: an answer with a key is kept whole while it is at most
 * `answer_bytes` long; of others, and of longer ones, only what no reader has
 * confirmed. So an agent holds at most
 *
 *   hold_bytes + running * (answer_bytes + window + one piece)
 *
 * and qg_answer_may_read() stops reading from the target in time. Finished
 * answers are dropped after `hold_time`, and earlier, oldest first, when they
 * are over `hold_bytes` in all.
 */
#ifndef QG_ANSWER_H
#define QG_ANSWER_H

#include "qg.h"

G_BEGIN_DECLS

/** Defaults of QgAnswerOptions. */
#define QG_ANSWER_HOLD_TIME   (120 * QG_SEC)
#define QG_ANSWER_ORPHAN_TIME (5 * QG_SEC)
enum
{
  QG_ANSWER_HOLD_BYTES = 16 << 20,
  QG_ANSWER_BYTES = 4 << 20,
  QG_ANSWER_WINDOW = 256 << 10
};

typedef struct _QgAnswers QgAnswers;
typedef struct _QgAnswer QgAnswer;
typedef struct _QgAnswerReader QgAnswerReader;

/** Bounds; 0 stands for the default. */
typedef struct
{
  QgTime hold_time;   /**< of finished ones */
  QgTime orphan_time; /**< of runs without a key that nobody reads */
  gsize hold_bytes;   /**< of all finished ones */
  gsize answer_bytes; /**< of one that is kept whole */
  gsize window;       /**< unconfirmed bytes of one reader */
} QgAnswerOptions;

/** A request as an entry numbers it. */
typedef struct
{
  const char *entry;
  guint64 incarnation;
  guint64 id;
} QgAnswerOrigin;

/** What an answer belongs to. */
typedef struct
{
  QgAnswerOrigin origin;
  const char *workspace;
  const char *service;
  const char *key; /**< "" if it was not claimed */
  gconstpointer body_hash;
  gsize body_hash_len;
  gpointer user; /**< the run, for the shell */
} QgAnswerStart;

/** Who wants an answer: by key, or by the origin of the first request. */
typedef struct
{
  QgAnswerOrigin reader; /**< the request that wants it */
  const char *workspace;
  const char *service;
  const char *key;         /**< "" to go by `original` */
  QgAnswerOrigin original; /**< used without a key */
  gconstpointer body_hash; /**< compared with a key */
  gsize body_hash_len;
  guint64 offset; /**< body bytes that the reader has */
  gpointer user;  /**< the peer, for the shell */
} QgAnswerAttach;

/** Kinds of piece, in their order. */
typedef enum
{
  QG_ANSWER_HEAD, /**< bytes: as given to qg_answer_head() */
  QG_ANSWER_DATA, /**< bytes of the body, at offset */
  QG_ANSWER_END,  /**< offset: the length; bytes: as given */
  QG_ANSWER_FAIL  /**< bytes: as given to qg_answer_fail() */
} QgAnswerKind;

/** One piece for a reader. */
typedef struct
{
  QgAnswerKind kind;
  guint64 offset;
  GBytes *bytes; /**< may be NULL; released by the taker */
} QgAnswerPiece;

/** A new empty table with one reference; @a options may be NULL. */
QgAnswers *qg_answers_new (const QgAnswerOptions *options);
QgAnswers *qg_answers_ref (QgAnswers *answers);
void qg_answers_unref (QgAnswers *answers);

/**
 * Begins an answer, with its origin as the first reader.
 *
 * @param user of that reader.
 * @return the answer, which the table owns, or NULL when the origin or the
 *         key has one already.
 */
QgAnswer *qg_answer_begin (QgAnswers *answers, const QgAnswerStart *start,
                           gpointer user);

/** The head came; @a head is kept as it is. */
void qg_answer_head (QgAnswer *answer, GBytes *head);

/** A piece of the body came. */
void qg_answer_data (QgAnswer *answer, GBytes *data);

/** It ended whole; @a tail is kept for the readers. */
void qg_answer_end (QgAnswer *answer, GBytes *tail, QgTime now);

/** It failed; @a fail is kept for the readers. */
void qg_answer_fail (QgAnswer *answer, GBytes *fail, QgTime now);

/** Forgets an answer that did not come to run; its readers end. */
void qg_answer_drop (QgAnswer *answer);

/** Whether more of the body may be read from the target now. */
gboolean qg_answer_may_read (const QgAnswer *answer);

/** Whether anyone reads it. */
gboolean qg_answer_has_readers (const QgAnswer *answer);

/** Whether it ended or failed. */
gboolean qg_answer_finished (const QgAnswer *answer);

gpointer qg_answer_user (const QgAnswer *answer);
void qg_answer_set_user (QgAnswer *answer, gpointer user);

/** Finds the answer of a request; NULL if there is none. */
QgAnswer *qg_answer_find (const QgAnswers *answers,
                          const QgAnswerOrigin *origin);

/** Finds the answer of a key; NULL if there is none. */
QgAnswer *qg_answer_find_key (const QgAnswers *answers, const char *workspace,
                              const char *service, const char *key);

/**
 * Lets a request read an answer. A request that reads one already goes on at
 * the new offset.
 *
 * @return the reader, or NULL with QG_E_NOT_FOUND (not held here),
 *         QG_E_CONFLICT (another body), QG_E_FORBIDDEN (another workspace) or
 *         QG_E_UNKNOWN (bytes before the offset were dropped).
 */
QgAnswerReader *qg_answer_attach (QgAnswers *answers,
                                  const QgAnswerAttach *attach, QgErr *err);

/** Finds the reader that a request is; NULL if it is none. */
QgAnswerReader *qg_answer_reader (const QgAnswers *answers,
                                  const QgAnswerOrigin *origin);

/** Ends a reader: its caller left or its link broke. */
void qg_answer_detach (QgAnswerReader *reader, QgTime now);

/** Ends all readers with this user: a link broke. */
void qg_answers_detach_user (QgAnswers *answers, gconstpointer user,
                             QgTime now);

/** The answer that it reads. */
QgAnswer *qg_answer_of (const QgAnswerReader *reader);
gpointer qg_answer_reader_user (const QgAnswerReader *reader);
const QgAnswerOrigin *qg_answer_reader_origin (const QgAnswerReader *reader);

/** The readers of an answer, by index from 0; NULL behind the last. */
QgAnswerReader *qg_answer_nth_reader (const QgAnswer *answer, guint index);

/** The reader confirmed the bytes before @a offset. */
void qg_answer_confirm (QgAnswerReader *reader, guint64 offset);

/**
 * Takes the next piece for a reader. After QG_ANSWER_END or QG_ANSWER_FAIL
 * there is none.
 *
 * @return FALSE when there is none now, or the window is full.
 */
gboolean qg_answer_next (QgAnswerReader *reader, QgAnswerPiece *piece);

/**
 * Drops what is past its time or over the bounds; to be called when answers
 * have ended, and every second or so.
 */
void qg_answers_expire (QgAnswers *answers, QgTime now);

/**
 * An unfinished answer without a key that nobody has read for `orphan_time`:
 * its run can be cancelled. NULL if there is none.
 */
QgAnswer *qg_answers_orphan (const QgAnswers *answers, QgTime now);

/** Finished answers that a reader has not got to the end. */
guint qg_answers_unsent (const QgAnswers *answers);

/** Bytes of bodies that are held now. */
gsize qg_answers_bytes (const QgAnswers *answers);

/** Answers that are held now. */
guint qg_answers_count (const QgAnswers *answers);

G_END_DECLS

#endif
