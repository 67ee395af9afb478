#include "event.h"
#include "librsm.h"

static gboolean may_apply (const QgRsm *rsm, guint64 index,
                           const Qg__StateCommand *command);
static void apply_kind (QgRsm *rsm, guint64 index, Qg__StateCommand *command,
                        Qg__StateResult *result);
static GBytes *pack_result (const Qg__StateResult *result);
static void clear_result (Qg__StateResult *result);
static GBytes *pack_command (Qg__StateCommand *command, QgTime now);
static GBytes *pack_rollout (Qg__RolloutCommand *rollout, QgTime now);

QgRsm *
qg_rsm_new (void)
{
  QgRsm *rsm = g_new0 (QgRsm, 1);

  rsm->refs = 1;
  rsm->conf = qg_conf_new ();
  rsm->claims = qg_claim_new (NULL);
  rsm->poison = qg_poison_new ();
  qg_epochs_init (&rsm->epochs);
  qg_manifest_log_init (&rsm->manifest);
  qg_leaves_init (&rsm->leaves);
  qg_rollout_log_init (&rsm->rollouts);
  qg_version_log_init (&rsm->versions);
  return rsm;
}

QgRsm *
qg_rsm_ref (QgRsm *rsm)
{
  rsm->refs++;
  return rsm;
}

void
qg_rsm_unref (QgRsm *rsm)
{
  if (rsm == NULL || --rsm->refs > 0)
    return;
  qg_conf_unref (rsm->conf);
  qg_claim_unref (rsm->claims);
  qg_poison_unref (rsm->poison);
  qg_epochs_clear (&rsm->epochs);
  qg_manifest_log_clear (&rsm->manifest);
  qg_leaves_clear (&rsm->leaves);
  qg_rollout_log_clear (&rsm->rollouts);
  qg_version_log_clear (&rsm->versions);
  g_free (rsm);
}

GBytes *
qg_rsm_apply (QgRsm *rsm, guint64 index, gconstpointer command, gsize len)
{
  Qg__StateCommand *unpacked = qg__state_command__unpack (NULL, len, command);
  Qg__StateResult result = QG__STATE_RESULT__INIT;
  GBytes *packed = NULL;

  if (may_apply (rsm, index, unpacked))
    {
      rsm->index = index;
      if (unpacked != NULL)
        apply_kind (rsm, index, unpacked, &result);
      packed = pack_result (&result);
      clear_result (&result);
    }
  if (unpacked != NULL)
    qg__state_command__free_unpacked (unpacked, NULL);
  return packed;
}

guint64
qg_rsm_index (const QgRsm *rsm)
{
  return rsm->index;
}

QgTime
qg_rsm_now (const QgRsm *rsm)
{
  return rsm->now;
}

QgTime
qg_rsm_stamp (const QgRsm *rsm, QgTime time_of_day, QgTime elapsed)
{
  if (rsm->now == 0)
    return time_of_day;
  return rsm->now
         + CLAMP (time_of_day - rsm->now, elapsed / 2, elapsed + elapsed / 24);
}

QgConf *
qg_rsm_conf (const QgRsm *rsm)
{
  return rsm->conf;
}

QgClaims *
qg_rsm_claims (const QgRsm *rsm)
{
  return rsm->claims;
}

QgPoison *
qg_rsm_poison (const QgRsm *rsm)
{
  return rsm->poison;
}

const QgManifestLog *
qg_rsm_manifest (const QgRsm *rsm)
{
  return &rsm->manifest;
}

const QgLeaves *
qg_rsm_leaves (const QgRsm *rsm)
{
  return &rsm->leaves;
}

const QgRolloutLog *
qg_rsm_rollouts (const QgRsm *rsm)
{
  return &rsm->rollouts;
}

const QgVersionLog *
qg_rsm_versions (const QgRsm *rsm)
{
  return &rsm->versions;
}

guint64
qg_rsm_epoch (const QgRsm *rsm, const char *name, guint64 *incarnation)
{
  const QgEpoch *epoch = g_hash_table_lookup (rsm->epochs.by_name, name);

  if (epoch == NULL)
    return 0;
  if (incarnation != NULL)
    *incarnation = epoch->incarnation;
  return epoch->epoch;
}

GBytes *
qg_rsm_command_conf (Qg__ConfChange *change, QgTime now)
{
  Qg__StateCommand command = QG__STATE_COMMAND__INIT;

  command.kind_case = QG__STATE_COMMAND__KIND_CONF;
  command.conf = change;
  return pack_command (&command, now);
}

GBytes *
qg_rsm_command_claim (Qg__ClaimCommand *claim, QgTime now)
{
  Qg__StateCommand command = QG__STATE_COMMAND__INIT;

  command.kind_case = QG__STATE_COMMAND__KIND_CLAIM;
  command.claim = claim;
  return pack_command (&command, now);
}

GBytes *
qg_rsm_command_poison (Qg__PoisonCommand *poison, QgTime now)
{
  Qg__StateCommand command = QG__STATE_COMMAND__INIT;

  command.kind_case = QG__STATE_COMMAND__KIND_POISON;
  command.poison = poison;
  return pack_command (&command, now);
}

GBytes *
qg_rsm_command_epoch (const char *name, guint64 incarnation, QgTime now)
{
  Qg__StateCommand command = QG__STATE_COMMAND__INIT;
  Qg__EpochTake take = QG__EPOCH_TAKE__INIT;

  take.name = (char *)name;
  take.incarnation = incarnation;
  command.kind_case = QG__STATE_COMMAND__KIND_EPOCH;
  command.epoch = &take;
  return pack_command (&command, now);
}

GBytes *
qg_rsm_command_manifest (guint64 version, GBytes *text, QgTime now)
{
  Qg__StateCommand command = QG__STATE_COMMAND__INIT;
  Qg__ManifestCommand manifest = QG__MANIFEST_COMMAND__INIT;
  Qg__ManifestPut put = QG__MANIFEST_PUT__INIT;

  put.version = version;
  put.text.data = (guint8 *)g_bytes_get_data (text, &put.text.len);
  manifest.kind_case = QG__MANIFEST_COMMAND__KIND_PUT;
  manifest.put = &put;
  command.kind_case = QG__STATE_COMMAND__KIND_MANIFEST;
  command.manifest = &manifest;
  return pack_command (&command, now);
}

GBytes *
qg_rsm_command_drain (const char *dc, gboolean drained, QgTime now)
{
  Qg__StateCommand command = QG__STATE_COMMAND__INIT;
  Qg__ManifestCommand manifest = QG__MANIFEST_COMMAND__INIT;
  Qg__ManifestDrain drain = QG__MANIFEST_DRAIN__INIT;

  drain.dc = (char *)dc;
  drain.drained = drained;
  manifest.kind_case = QG__MANIFEST_COMMAND__KIND_DRAIN;
  manifest.drain = &drain;
  command.kind_case = QG__STATE_COMMAND__KIND_MANIFEST;
  command.manifest = &manifest;
  return pack_command (&command, now);
}

GBytes *
qg_rsm_command_leave (Qg__TargetLeave *leave, QgTime now)
{
  Qg__StateCommand command = QG__STATE_COMMAND__INIT;

  command.kind_case = QG__STATE_COMMAND__KIND_LEAVE;
  command.leave = leave;
  return pack_command (&command, now);
}

static GBytes *
pack_rollout (Qg__RolloutCommand *rollout, QgTime now)
{
  Qg__StateCommand command = QG__STATE_COMMAND__INIT;

  command.kind_case = QG__STATE_COMMAND__KIND_ROLLOUT;
  command.rollout = rollout;
  return pack_command (&command, now);
}

GBytes *
qg_rsm_command_rollout_begin (const char *service, const char *version,
                              QgTime duration, QgTime now)
{
  Qg__RolloutCommand rollout = QG__ROLLOUT_COMMAND__INIT;
  Qg__RolloutBegin begin = QG__ROLLOUT_BEGIN__INIT;

  begin.service = (char *)service;
  begin.version = (char *)version;
  begin.duration_us = duration;
  rollout.kind_case = QG__ROLLOUT_COMMAND__KIND_BEGIN;
  rollout.begin = &begin;
  return pack_rollout (&rollout, now);
}

GBytes *
qg_rsm_command_rollout_end (Qg__RolloutEnd *end, QgTime now)
{
  Qg__RolloutCommand rollout = QG__ROLLOUT_COMMAND__INIT;

  rollout.kind_case = QG__ROLLOUT_COMMAND__KIND_END;
  rollout.end = end;
  return pack_rollout (&rollout, now);
}

GBytes *
qg_rsm_command_version (const char *service, const char *version,
                        gboolean ended, QgTime now)
{
  Qg__StateCommand command = QG__STATE_COMMAND__INIT;
  Qg__VersionCommand target_version = QG__VERSION_COMMAND__INIT;

  target_version.service = (char *)service;
  target_version.version = (char *)version;
  target_version.ended = ended;
  command.kind_case = QG__STATE_COMMAND__KIND_TARGET_VERSION;
  command.target_version = &target_version;
  return pack_command (&command, now);
}

Qg__StateResult *
qg_rsm_result (GBytes *result)
{
  gsize len;
  gconstpointer data = g_bytes_get_data (result, &len);

  return len > 0 ? qg__state_result__unpack (NULL, len, data) : NULL;
}

static gboolean
may_apply (const QgRsm *rsm, guint64 index, const Qg__StateCommand *command)
{
  if (command != NULL && command->version > QG_RSM_VERSION)
    {
      qg_event (QG_EV_STATE_VERSION,
                "the command at %" G_GUINT64_FORMAT " has version %u, this "
                "program supports up to %d; upgrade the program",
                index, command->version, QG_RSM_VERSION);
      return FALSE;
    }
  return qg_check_invariant (index > rsm->index, QG_EV_INV_APPLIED,
                             "command %" G_GUINT64_FORMAT
                             " after %" G_GUINT64_FORMAT,
                             index, rsm->index);
}

static void
apply_kind (QgRsm *rsm, guint64 index, Qg__StateCommand *command,
            Qg__StateResult *result)
{
  rsm->now = MAX (rsm->now, command->now_us);
  switch (command->kind_case)
    {
    case QG__STATE_COMMAND__KIND_CONF:
      result->kind_case = QG__STATE_RESULT__KIND_CONF;
      result->conf = qg_conf_apply (rsm->conf, command->conf, rsm->now);
      break;
    case QG__STATE_COMMAND__KIND_CLAIM:
      result->kind_case = QG__STATE_RESULT__KIND_CLAIM;
      result->claim = g_new0 (Qg__ClaimResult, 1);
      qg__claim_result__init (result->claim);
      command->claim->now_us = rsm->now;
      if (qg_claim_apply (rsm->claims, command->claim, result->claim) != QG_OK)
        clear_result (result);
      break;
    case QG__STATE_COMMAND__KIND_POISON:
      command->poison->now_us = rsm->now;
      result->poison = qg_poison_apply (rsm->poison, command->poison);
      if (result->poison != NULL)
        result->kind_case = QG__STATE_RESULT__KIND_POISON;
      break;
    case QG__STATE_COMMAND__KIND_EPOCH:
      result->kind_case = QG__STATE_RESULT__KIND_EPOCH;
      result->epoch = g_new0 (Qg__EpochResult, 1);
      qg__epoch_result__init (result->epoch);
      qg_epochs_apply (&rsm->epochs, index, command->epoch, result->epoch);
      break;
    case QG__STATE_COMMAND__KIND_MANIFEST:
      result->kind_case = QG__STATE_RESULT__KIND_MANIFEST;
      result->manifest = g_new0 (Qg__ManifestResult, 1);
      qg__manifest_result__init (result->manifest);
      qg_manifest_log_apply (&rsm->manifest, command->manifest, rsm->now,
                             result->manifest);
      break;
    case QG__STATE_COMMAND__KIND_LEAVE:
      result->kind_case = QG__STATE_RESULT__KIND_LEAVE;
      result->leave = g_new0 (Qg__LeaveResult, 1);
      qg__leave_result__init (result->leave);
      result->leave->changed = qg_leaves_apply (&rsm->leaves, command->leave);
      break;
    case QG__STATE_COMMAND__KIND_ROLLOUT:
      result->kind_case = QG__STATE_RESULT__KIND_ROLLOUT;
      result->rollout = g_new0 (Qg__RolloutResult, 1);
      qg__rollout_result__init (result->rollout);
      qg_rollout_log_apply (&rsm->rollouts, index, rsm->now, command->rollout,
                            result->rollout);
      break;
    case QG__STATE_COMMAND__KIND_TARGET_VERSION:
      result->kind_case = QG__STATE_RESULT__KIND_TARGET_VERSION;
      result->target_version = g_new0 (Qg__VersionResult, 1);
      qg__version_result__init (result->target_version);
      result->target_version->changed
          = qg_version_log_apply (&rsm->versions, command->target_version);
      break;
    default:
      break;
    }
}

static GBytes *
pack_result (const Qg__StateResult *result)
{
  gsize len = qg__state_result__get_packed_size (result);
  guint8 *data = g_malloc (len + 1);

  qg__state_result__pack (result, data);
  return g_bytes_new_take (data, len);
}

/* Frees a result, except the strings in the result of a claim, which belong to
 * the claim table. */
static void
clear_result (Qg__StateResult *result)
{
  switch (result->kind_case)
    {
    case QG__STATE_RESULT__KIND_CONF:
      qg__conf_result__free_unpacked (result->conf, NULL);
      break;
    case QG__STATE_RESULT__KIND_CLAIM:
      g_free (result->claim);
      break;
    case QG__STATE_RESULT__KIND_POISON:
      qg__poison_result__free_unpacked (result->poison, NULL);
      break;
    case QG__STATE_RESULT__KIND_EPOCH:
      g_free (result->epoch);
      break;
    case QG__STATE_RESULT__KIND_MANIFEST:
      g_free (result->manifest);
      break;
    case QG__STATE_RESULT__KIND_LEAVE:
      g_free (result->leave);
      break;
    case QG__STATE_RESULT__KIND_ROLLOUT:
      qg__rollout_result__free_unpacked (result->rollout, NULL);
      break;
    case QG__STATE_RESULT__KIND_TARGET_VERSION:
      g_free (result->target_version);
      break;
    default:
      break;
    }
  result->kind_case = QG__STATE_RESULT__KIND__NOT_SET;
}

static GBytes *
pack_command (Qg__StateCommand *command, QgTime now)
{
  gsize len;
  guint8 *data;

  command->version = QG_RSM_VERSION;
  command->now_us = now;
  len = qg__state_command__get_packed_size (command);
  data = g_malloc (len);
  qg__state_command__pack (command, data);
  return g_bytes_new_take (data, len);
}
