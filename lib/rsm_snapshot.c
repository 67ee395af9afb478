#include "librsm.h"

#include <string.h>

/* A snapshot consists of these bytes, the SHA-256 of the rest, and a packed
 * StateSnapshot. */
static const char magic[8] = "QGSTATE";

enum
{
  HEADER_BYTES = sizeof magic + QG_SHA256_BYTES
};

static void compute_sha256 (gconstpointer data, gsize len,
                            guint8 sum[QG_SHA256_BYTES]);
static void borrow_bytes (ProtobufCBinaryData *field, GBytes *bytes);
static void pack_epochs (const QgRsm *rsm, Qg__StateSnapshot *snapshot);
static void free_epochs (Qg__StateSnapshot *snapshot);
static QgStatus restore_from (QgRsm *rsm, const Qg__StateSnapshot *snapshot,
                              QgErr *err);
static QgStatus restore_parts (QgRsm *fresh, const Qg__StateSnapshot *snapshot,
                               QgErr *err);
static void swap_states (QgRsm *a, QgRsm *b);

GBytes *
qg_rsm_snapshot (const QgRsm *rsm)
{
  Qg__StateSnapshot snapshot = QG__STATE_SNAPSHOT__INIT;
  g_autoptr (GBytes) claims = qg_claim_snapshot (rsm->claims);
  g_autoptr (GBytes) poison = qg_poison_snapshot (rsm->poison);
  gsize len;
  guint8 *data;

  snapshot.version = QG_RSM_VERSION;
  snapshot.index = rsm->index;
  snapshot.now_us = rsm->now;
  snapshot.conf = qg_conf_snapshot (rsm->conf);
  borrow_bytes (&snapshot.claims, claims);
  borrow_bytes (&snapshot.poison, poison);
  pack_epochs (rsm, &snapshot);
  snapshot.manifest = qg_manifest_log_snapshot (&rsm->manifest);
  snapshot.leaves = qg_leaves_list (&rsm->leaves, &snapshot.n_leaves);
  snapshot.rollouts
      = qg_rollout_log_list (&rsm->rollouts, &snapshot.n_rollouts);
  snapshot.versions = (Qg__ServiceVersion **)rsm->versions.rows->pdata;
  snapshot.n_versions = rsm->versions.rows->len;
  len = qg__state_snapshot__get_packed_size (&snapshot);
  data = g_malloc (HEADER_BYTES + len);
  qg__state_snapshot__pack (&snapshot, data + HEADER_BYTES);
  memcpy (data, magic, sizeof magic);
  compute_sha256 (data + HEADER_BYTES, len, data + sizeof magic);
  qg__conf_snapshot__free_unpacked (snapshot.conf, NULL);
  free_epochs (&snapshot);
  g_free (snapshot.leaves);
  g_free (snapshot.rollouts);
  qg__manifest_snapshot__free_unpacked (snapshot.manifest, NULL);
  return g_bytes_new_take (data, HEADER_BYTES + len);
}

QgStatus
qg_rsm_restore (QgRsm *rsm, gconstpointer data, gsize len, QgErr *err)
{
  const guint8 *bytes = data;
  guint8 sum[QG_SHA256_BYTES];
  Qg__StateSnapshot *snapshot;
  QgStatus status;

  if (len < HEADER_BYTES || memcmp (bytes, magic, sizeof magic) != 0)
    return qg_fail (err, QG_E_CORRUPT,
                    "this is not a snapshot of the replicated state; restore "
                    "this member from another member or from a backup");
  compute_sha256 (bytes + HEADER_BYTES, len - HEADER_BYTES, sum);
  if (memcmp (sum, bytes + sizeof magic, sizeof sum) != 0)
    return qg_fail (err, QG_E_CORRUPT,
                    "the snapshot fails its checksum; restore this member "
                    "from another member or from a backup");
  snapshot = qg__state_snapshot__unpack (NULL, len - HEADER_BYTES,
                                         bytes + HEADER_BYTES);
  if (snapshot == NULL)
    return qg_fail (err, QG_E_CORRUPT,
                    "the snapshot is not readable; restore this member from "
                    "another member or from a backup");
  status = restore_from (rsm, snapshot, err);
  qg__state_snapshot__free_unpacked (snapshot, NULL);
  return status;
}

static void
compute_sha256 (gconstpointer data, gsize len, guint8 sum[QG_SHA256_BYTES])
{
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize size = QG_SHA256_BYTES;

  g_checksum_update (checksum, data, (gssize)len);
  g_checksum_get_digest (checksum, sum, &size);
  g_checksum_free (checksum);
}

static void
borrow_bytes (ProtobufCBinaryData *field, GBytes *bytes)
{
  field->data = (guint8 *)g_bytes_get_data (bytes, &field->len);
}

static void
pack_epochs (const QgRsm *rsm, Qg__StateSnapshot *snapshot)
{
  size_t i = 0;

  snapshot->n_epochs = rsm->epochs.order.length;
  snapshot->epochs = g_new (Qg__EpochRow *, snapshot->n_epochs);
  for (GList *at = rsm->epochs.order.head; at != NULL; at = at->next)
    snapshot->epochs[i++] = qg_epoch_pack (at->data);
}

static void
free_epochs (Qg__StateSnapshot *snapshot)
{
  for (size_t i = 0; i < snapshot->n_epochs; i++)
    qg__epoch_row__free_unpacked (snapshot->epochs[i], NULL);
  g_free (snapshot->epochs);
}

static QgStatus
restore_from (QgRsm *rsm, const Qg__StateSnapshot *snapshot, QgErr *err)
{
  QgRsm *fresh;
  QgStatus status;

  if (snapshot->version > QG_RSM_VERSION)
    return qg_fail (err, QG_E_CORRUPT,
                    "the snapshot has version %u, this program supports up to "
                    "%d; upgrade the program",
                    snapshot->version, QG_RSM_VERSION);
  fresh = qg_rsm_new ();
  status = restore_parts (fresh, snapshot, err);
  if (status == QG_OK)
    swap_states (rsm, fresh);
  qg_rsm_unref (fresh);
  return status;
}

static QgStatus
restore_parts (QgRsm *fresh, const Qg__StateSnapshot *snapshot, QgErr *err)
{
  QgStatus status;

  if (snapshot->conf == NULL)
    return qg_fail (err, QG_E_CORRUPT,
                    "the snapshot has no configuration; restore this member "
                    "from another member or from a backup");
  fresh->index = snapshot->index;
  fresh->now = snapshot->now_us;
  status = qg_conf_restore (fresh->conf, snapshot->conf, err);
  if (status == QG_OK)
    status = qg_claim_restore (fresh->claims, snapshot->claims.data,
                               snapshot->claims.len, err);
  if (status == QG_OK)
    status = qg_poison_restore (fresh->poison, snapshot->poison.data,
                                snapshot->poison.len, err);
  for (size_t i = 0; status == QG_OK && i < snapshot->n_epochs; i++)
    if (!qg_epochs_unpack (&fresh->epochs, snapshot->epochs[i]))
      status = qg_fail (err, QG_E_CORRUPT,
                        "the epochs in the snapshot are not readable; restore "
                        "this member from another member or from a backup");
  if (status == QG_OK)
    {
      qg_manifest_log_restore (&fresh->manifest, snapshot->manifest);
      for (size_t i = 0; i < snapshot->n_leaves; i++)
        qg_leaves_apply (&fresh->leaves, snapshot->leaves[i]);
      for (size_t i = 0; i < snapshot->n_rollouts; i++)
        qg_rollout_log_restore (&fresh->rollouts, snapshot->rollouts[i]);
      for (size_t i = 0; i < snapshot->n_versions; i++)
        qg_version_log_restore (&fresh->versions, snapshot->versions[i]);
    }
  return status;
}

/* Exchanges the contents of two states, except their reference counts; pointers
 * to parts of the states become invalid. */
static void
swap_states (QgRsm *a, QgRsm *b)
{
  QgRsm saved = *a;

  *a = *b;
  *b = saved;
  b->refs = a->refs;
  a->refs = saved.refs;
}
