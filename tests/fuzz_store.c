/* Reads arbitrary bytes as a log segment and as payloads of valid frames, which
 * must not crash. Frames that are read without error must all be reported as
 * valid, also when they are read again as a segment that isn't the last. */
#include "lib/event.h"
#include "lib/libstore.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static QgStatus
read_frames (const guint8 *data, gsize len, gboolean last, gsize *valid)
{
  StoreReplay replay = { 0 };
  QgStatus status;
  QgErr err;

  replay.segment = 1;
  replay.first = TRUE;
  replay.entries
      = g_ptr_array_new_with_free_func ((GDestroyNotify)qg_cons_entry_unref);
  status = qg_store_read_segment (1, data, len, last, store_replay_frame,
                                  &replay, valid, &err);
  if (replay.hard.vote != NULL)
    qg_str_unref (replay.hard.vote);
  g_ptr_array_unref (replay.entries);
  return status;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GByteArray *frames = g_byte_array_new ();
  gsize valid = 0;
  gsize valid_again = 0;
  gsize cut = size > 0 ? data[0] % size : 0;

  qg_event_set_level (QG_SEV_INVARIANT);
  read_frames (data, size, TRUE, &valid);
  /* Frames with a correct checksum, which a fuzzer is unlikely to find. */
  qg_store_append_frame (frames, 1, 0, data, cut);
  qg_store_append_frame (frames, 1, frames->len, data + cut, size - cut);
  if (read_frames (frames->data, frames->len, TRUE, &valid) == QG_OK)
    {
      g_assert (valid == frames->len);
      g_assert (read_frames (frames->data, valid, FALSE, &valid_again)
                == QG_OK);
      g_assert (valid_again == valid);
    }
  g_byte_array_unref (frames);
  return 0;
}
