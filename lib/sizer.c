#include "sizer.h"

#include <math.h>

enum
{
  DEFAULT_SHORT_UNITS = 256,
  MAX_RECORDS = 16384
};

#define GAIN 0.125 /* weight of a new sample in the averages */
/* log10; the learned ratio units / hint stays within 10^-4 to 10^4. */
#define MAX_LOG_FACTOR 4.0

/* Moving averages for one workspace at one service. */
typedef struct
{
  double log_factor; /* log10 (units / hint) */
  double log_size;   /* log10 (units) */
} Record;

struct _QgSizer
{
  double log_short;    /* log10 of the largest short request */
  GHashTable *records; /* "service workspace" -> Record */
};

static Record *record_of (const QgSizer *sizer, const char *service,
                          const char *workspace);

QgSizer *
qg_sizer_new (guint64 short_units)
{
  QgSizer *sizer = g_new0 (QgSizer, 1);

  if (short_units == 0)
    short_units = DEFAULT_SHORT_UNITS;
  sizer->log_short = log10 ((double)short_units);
  sizer->records
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return sizer;
}

void
qg_sizer_free (QgSizer *sizer)
{
  g_hash_table_unref (sizer->records);
  g_free (sizer);
}

QgClass
qg_sizer_class (const QgSizer *sizer, const char *service,
                const char *workspace, guint64 hint)
{
  const Record *record = record_of (sizer, service, workspace);
  double size = record != NULL ? record->log_size : 0;

  if (hint > 0)
    size = log10 ((double)hint) + (record != NULL ? record->log_factor : 0);
  return size > sizer->log_short ? QG_CLASS_LONG : QG_CLASS_SHORT;
}

void
qg_sizer_learn (QgSizer *sizer, const char *service, const char *workspace,
                guint64 hint, guint64 units)
{
  Record *record = record_of (sizer, service, workspace);
  double size = log10 ((double)MAX (units, 1));

  if (record == NULL)
    {
      if (g_hash_table_size (sizer->records) >= MAX_RECORDS)
        g_hash_table_remove_all (sizer->records);
      record = g_new0 (Record, 1);
      record->log_size = size;
      g_hash_table_insert (sizer->records,
                           g_strdup_printf ("%s %s", service, workspace),
                           record);
    }
  record->log_size += (size - record->log_size) * GAIN;
  if (hint == 0)
    return;
  record->log_factor
      += (size - log10 ((double)hint) - record->log_factor) * GAIN;
  record->log_factor
      = CLAMP (record->log_factor, -MAX_LOG_FACTOR, MAX_LOG_FACTOR);
}

static Record *
record_of (const QgSizer *sizer, const char *service, const char *workspace)
{
  char *key = g_strdup_printf ("%s %s", service, workspace);
  Record *record = g_hash_table_lookup (sizer->records, key);

  g_free (key);
  return record;
}
