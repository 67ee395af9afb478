#include "suspect.h"

#include <string.h>

/* Crash reports of one agent in the same interval count as one crash. */
#define CRASH_INTERVAL (2 * QG_SEC)

struct _QgSuspects
{
  int refs;
  GHashTable *control_levels; /* GBytes to QgPoisonLevel */
  QgPoison *local;            /* crashes that the entry saw itself */
};

static QgPoisonLevel control_level (const QgSuspects *suspects,
                                    const guint8 *fingerprint);
static void apply_local (QgSuspects *suspects,
                         const Qg__PoisonCommand *command);

QgSuspects *
qg_suspect_new (void)
{
  QgSuspects *suspects = g_new0 (QgSuspects, 1);

  suspects->refs = 1;
  suspects->control_levels = g_hash_table_new_full (
      g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
  suspects->local = qg_poison_new ();
  return suspects;
}

QgSuspects *
qg_suspect_ref (QgSuspects *suspects)
{
  suspects->refs++;
  return suspects;
}

void
qg_suspect_unref (QgSuspects *suspects)
{
  if (suspects == NULL || --suspects->refs > 0)
    return;
  g_hash_table_unref (suspects->control_levels);
  qg_poison_unref (suspects->local);
  g_free (suspects);
}

void
qg_suspect_reset_control_levels (QgSuspects *suspects)
{
  g_hash_table_remove_all (suspects->control_levels);
}

void
qg_suspect_set_control_level (QgSuspects *suspects, const guint8 *fingerprint,
                              QgPoisonLevel level)
{
  GBytes *key = g_bytes_new (fingerprint, QG_POISON_FINGERPRINT_BYTES);

  if (level == QG_POISON_CLEAR)
    {
      g_hash_table_remove (suspects->control_levels, key);
      g_bytes_unref (key);
      return;
    }
  g_hash_table_replace (suspects->control_levels, key,
                        GUINT_TO_POINTER (level));
}

void
qg_suspect_record_crash (QgSuspects *suspects, const QgSuspectCrash *crash,
                         QgTime now)
{
  ProtobufCBinaryData crashed
      = { QG_POISON_FINGERPRINT_BYTES, (guint8 *)crash->fingerprint };
  /* Two fingerprints in a crash report mean that more than one request was in
   * flight. */
  ProtobufCBinaryData fingerprints[] = { crashed, crashed };
  Qg__PoisonCrash message = QG__POISON_CRASH__INIT;
  Qg__PoisonCommand command = QG__POISON_COMMAND__INIT;

  message.service = (char *)crash->service;
  message.agent = (char *)crash->agent;
  message.incarnation = crash->incarnation;
  message.seq = (guint64)(now / CRASH_INTERVAL);
  message.fingerprints = fingerprints;
  message.n_fingerprints = crash->level >= QG_POISON_ALONE ? 1 : 2;
  command.now_us = now;
  command.kind_case = QG__POISON_COMMAND__KIND_CRASH;
  command.crash = &message;
  apply_local (suspects, &command);
}

gboolean
qg_suspect_record_completion (QgSuspects *suspects, const guint8 *fingerprint,
                              QgTime now)
{
  ProtobufCBinaryData cleared
      = { QG_POISON_FINGERPRINT_BYTES, (guint8 *)fingerprint };
  Qg__PoisonClear message = QG__POISON_CLEAR__INIT;
  Qg__PoisonCommand command = QG__POISON_COMMAND__INIT;
  QgPoisonLevel level = qg_suspect_level (suspects, fingerprint);

  if (level == QG_POISON_CLEAR || level == QG_POISON_QUARANTINED)
    return FALSE;
  message.fingerprints = &cleared;
  message.n_fingerprints = 1;
  command.now_us = now;
  command.kind_case = QG__POISON_COMMAND__KIND_CLEAR;
  command.clear = &message;
  apply_local (suspects, &command);
  return TRUE;
}

QgPoisonLevel
qg_suspect_level (const QgSuspects *suspects, const guint8 *fingerprint)
{
  QgPoisonLevel local = qg_poison_level (suspects->local, fingerprint);
  QgPoisonLevel control = control_level (suspects, fingerprint);

  return MAX (local, control);
}

static QgPoisonLevel
control_level (const QgSuspects *suspects, const guint8 *fingerprint)
{
  GBytes *key = g_bytes_new_static (fingerprint, QG_POISON_FINGERPRINT_BYTES);
  gpointer level = g_hash_table_lookup (suspects->control_levels, key);

  g_bytes_unref (key);
  return (QgPoisonLevel)GPOINTER_TO_UINT (level);
}

static void
apply_local (QgSuspects *suspects, const Qg__PoisonCommand *command)
{
  Qg__PoisonResult *result = qg_poison_apply (suspects->local, command);

  if (result != NULL)
    qg__poison_result__free_unpacked (result, NULL);
}
