/**
 * @file libpoison.h
 * Internals shared by the poison*.c files.
 */
#ifndef QG_LIBPOISON_H
#define QG_LIBPOISON_H

#include "poison.h"

typedef enum
{
  QUEUE_SUSPECTS,
  QUEUE_PARTS, /* suspected prompt parts */
  QUEUE_QUARANTINED,
  QUEUE_QUARANTINED_PARTS,
  N_QUEUES
} Queue;

enum
{
  CRASH_ALONE = 1, /* nothing else was in flight */
  CRASH_SOUND = 2  /* the target had completed other work since its start */
};

typedef struct
{
  guint64 id;     /* hash of agent, incarnation and seq */
  guint64 target; /* hash of the agent's name; of a part: the id */
  guint32 flags;
} Crash;

typedef struct
{
  GList link; /* in one of QgPoison.queues */
  guint8 fingerprint[QG_POISON_FINGERPRINT_BYTES];
  char *service;
  Queue queue;
  gboolean is_part;
  QgTime at;
  QgTime since; /* of a part: time of its second crash */
  guint n_crashes;
  Crash crashes[QG_POISON_MAX_CRASH_RECORDS];
} PoisonRow;

struct _QgPoison
{
  int refs;
  QgTime now; /* latest command time; never decreases */
  GHashTable *rows;
  GQueue queues[N_QUEUES];
};

/* poison.c */
PoisonRow *poison_find_row (const QgPoison *poison, const guint8 *fingerprint);
PoisonRow *poison_add_row (QgPoison *poison, const char *service,
                           const guint8 *fingerprint, Queue queue);
/** Moves the row to the end of @a queue. */
void poison_move_row (QgPoison *poison, PoisonRow *row, Queue queue);
void poison_drop_row (QgPoison *poison, PoisonRow *row);
/** Adds a crash, unless it is on record; the oldest makes room. */
gboolean poison_row_add_crash (PoisonRow *row, const Crash *crash);
gboolean poison_row_is_quarantined (const PoisonRow *row);
QgPoisonLevel poison_row_level (const PoisonRow *row);
void poison_add_changed (GPtrArray *changed, const guint8 *fingerprint,
                         QgPoisonLevel level);
/** A hash that is the same on all members and in all processes. */
guint64 poison_hash_name (const char *name, guint64 a, guint64 b);

/* poison_print.c */
#define POISON_FNV1A_BEGIN G_GUINT64_CONSTANT (14695981039346656037)
/** Continues the FNV-1a hash @a hash with more bytes. */
guint64 poison_fnv1a (guint64 hash, gconstpointer data, gsize len);

/* poison_parts.c */
gboolean poison_parts_valid (const Qg__PoisonParts *parts);
void poison_parts_apply (QgPoison *poison, const Qg__PoisonParts *parts,
                         GPtrArray *changed);

#endif
