/* Feeds a target's answer to the meter in pieces of any size, and to the check
 * of JSON. The metered units must never decrease. */
#include "lib/jsontext.h"
#include "lib/meter.h"

#include <stdint.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  QgMeter *meter;
  guint64 before = 0;
  size_t piece;
  guint members;

  if (size < 2)
    return 0;
  meter = qg_meter_new ((QgMeterKind)(data[0] % QG_N_METER_KINDS), data[1], 0);
  piece = 1 + data[1] % 64;
  for (size_t at = 2; at < size; at += piece)
    {
      guint64 units;

      qg_meter_feed (meter, data + at, MIN (piece, size - at));
      units = qg_meter_units (meter, 0);
      g_assert (units >= before);
      before = units;
    }
  qg_meter_free (meter);
  qg_json_is_valid ((const char *)data, size, &members);
  return 0;
}
