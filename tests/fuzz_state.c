/* Passes arbitrary bytes as a log command and as a snapshot. Expects no crash,
 * no broken invariant, and a state whose own snapshot can be restored. */
#include "lib/event.h"
#include "lib/rsm.h"

#include <stdint.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  QgRsm *rsm = qg_rsm_new ();
  GBytes *result;
  GBytes *snapshot;
  gsize len;
  gconstpointer bytes;

  qg_event_set_level (QG_SEV_INVARIANT);
  qg_rsm_restore (rsm, data, size, NULL);
  result = qg_rsm_apply (rsm, 1, data, size);
  snapshot = qg_rsm_snapshot (rsm);
  bytes = g_bytes_get_data (snapshot, &len);
  if (qg_rsm_restore (rsm, bytes, len, NULL) != QG_OK
      || qg_invariants_broken () > 0)
    abort ();
  g_bytes_unref (snapshot);
  if (result != NULL)
    g_bytes_unref (result);
  qg_rsm_unref (rsm);
  return 0;
}
