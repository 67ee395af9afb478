#include "libstore.h"

#include <string.h>

#define FRAME_MAGIC        0x31464751u /* "QGF1" */
#define FRAME_HEADER_BYTES 12          /* magic, length, checksum */
#define FRAME_MAX_BYTES    (256u * 1024 * 1024)
#define CRC_POLYNOMIAL     0x82f63b78u /* Castagnoli, reflected */
#define CRC_SLICES         8

typedef struct
{
  guint32 slice[CRC_SLICES][256];
} CrcTable;

static const CrcTable *crc_table (void);
static guint32 frame_crc (guint64 segment, guint64 offset, guint32 len,
                          const guint8 *payload);
static void put_le32 (guint8 *out, guint32 v);
static guint32 get_le32 (const guint8 *in);
static gboolean parse_frame (guint64 segment, const guint8 *data, gsize len,
                             gsize at, const guint8 **payload, guint32 *size);
static gboolean has_valid_frame (guint64 segment, const guint8 *data, gsize len,
                                 gsize from);

static const CrcTable *
crc_table (void)
{
  static gsize ready = 0;
  static CrcTable table;

  if (g_once_init_enter (&ready))
    {
      for (guint32 i = 0; i < 256; i++)
        {
          guint32 c = i;

          for (int bit = 0; bit < 8; bit++)
            c = (c & 1) ? (c >> 1) ^ CRC_POLYNOMIAL : c >> 1;
          table.slice[0][i] = c;
        }
      for (guint32 i = 0; i < 256; i++)
        for (int s = 1; s < CRC_SLICES; s++)
          {
            guint32 c = table.slice[s - 1][i];

            table.slice[s][i] = (c >> 8) ^ table.slice[0][c & 0xff];
          }
      g_once_init_leave (&ready, 1);
    }
  return &table;
}

guint32
qg_store_crc32c (guint32 crc, const guint8 *data, gsize len)
{
  const CrcTable *t = crc_table ();

  crc = ~crc;
  for (; len >= CRC_SLICES; len -= CRC_SLICES, data += CRC_SLICES)
    {
      guint32 lo = crc ^ get_le32 (data);
      guint32 hi = get_le32 (data + 4);

      crc = t->slice[7][lo & 0xff] ^ t->slice[6][(lo >> 8) & 0xff]
            ^ t->slice[5][(lo >> 16) & 0xff] ^ t->slice[4][lo >> 24]
            ^ t->slice[3][hi & 0xff] ^ t->slice[2][(hi >> 8) & 0xff]
            ^ t->slice[1][(hi >> 16) & 0xff] ^ t->slice[0][hi >> 24];
    }
  for (; len > 0; len--)
    crc = (crc >> 8) ^ t->slice[0][(crc ^ *data++) & 0xff];
  return ~crc;
}

static void
put_le32 (guint8 *out, guint32 v)
{
  v = GUINT32_TO_LE (v);
  memcpy (out, &v, sizeof v);
}

static guint32
get_le32 (const guint8 *in)
{
  guint32 v;

  memcpy (&v, in, sizeof v);
  return GUINT32_FROM_LE (v);
}

/* The checksum covers segment and offset, so that two cases are not accepted:
 * bytes inside a payload that look like a frame, and a frame that was written
 * for a different segment or offset. */
static guint32
frame_crc (guint64 segment, guint64 offset, guint32 len, const guint8 *payload)
{
  guint8 head[20];
  guint32 crc;

  put_le32 (head, (guint32)segment);
  put_le32 (head + 4, (guint32)(segment >> 32));
  put_le32 (head + 8, (guint32)offset);
  put_le32 (head + 12, (guint32)(offset >> 32));
  put_le32 (head + 16, len);
  crc = qg_store_crc32c (0, head, sizeof head);
  return qg_store_crc32c (crc, payload, len);
}

void
qg_store_append_frame (GByteArray *out, guint64 segment, guint64 offset,
                       const guint8 *payload, gsize len)
{
  guint8 head[FRAME_HEADER_BYTES];

  put_le32 (head, FRAME_MAGIC);
  put_le32 (head + 4, (guint32)len);
  put_le32 (head + 8, frame_crc (segment, offset, (guint32)len, payload));
  g_byte_array_append (out, head, sizeof head);
  g_byte_array_append (out, payload, (guint)len);
}

static gboolean
parse_frame (guint64 segment, const guint8 *data, gsize len, gsize at,
             const guint8 **payload, guint32 *size)
{
  if (len - at < FRAME_HEADER_BYTES || get_le32 (data + at) != FRAME_MAGIC)
    return FALSE;
  *size = get_le32 (data + at + 4);
  if (*size > FRAME_MAX_BYTES || *size > len - at - FRAME_HEADER_BYTES)
    return FALSE;
  *payload = data + at + FRAME_HEADER_BYTES;
  return get_le32 (data + at + 8) == frame_crc (segment, at, *size, *payload);
}

static gboolean
has_valid_frame (guint64 segment, const guint8 *data, gsize len, gsize from)
{
  const guint8 *payload;
  guint32 size;

  for (gsize at = from; at + FRAME_HEADER_BYTES <= len; at++)
    if (parse_frame (segment, data, len, at, &payload, &size))
      return TRUE;
  return FALSE;
}

QgStatus
qg_store_read_segment (guint64 segment, const guint8 *data, gsize len,
                       gboolean last, QgStoreFrameFunc func, gpointer user,
                       gsize *valid, QgErr *err)
{
  gsize at = 0;

  *valid = 0;
  while (at < len)
    {
      const guint8 *payload;
      guint32 size;
      Qg__LogFrame *frame;
      QgStatus status;

      if (!parse_frame (segment, data, len, at, &payload, &size))
        {
          if (last && !has_valid_frame (segment, data, len, at + 1))
            return QG_OK;
          return qg_fail (err, QG_E_CORRUPT,
                          "segment %" G_GUINT64_FORMAT " is damaged at byte "
                          "%" G_GSIZE_FORMAT "; " STORE_REMEDY,
                          segment, at);
        }
      frame = qg__log_frame__unpack (NULL, size, payload);
      if (frame == NULL)
        return qg_fail (err, QG_E_CORRUPT,
                        "segment %" G_GUINT64_FORMAT " has an invalid frame "
                        "at byte %" G_GSIZE_FORMAT "; " STORE_REMEDY,
                        segment, at);
      status = func (frame, user, err);
      qg__log_frame__free_unpacked (frame, NULL);
      if (status != QG_OK)
        return status;
      at += FRAME_HEADER_BYTES + size;
      *valid = at;
    }
  return QG_OK;
}

/* An entry in a frame replaces the log from its index on. */
static QgStatus
replay_entry (StoreReplay *replay, const Qg__ConsEntry *e, QgErr *err)
{
  guint64 last = replay->base + replay->entries->len;
  GBytes *data;

  if (replay->entries->len == 0 && !replay->base_known)
    last = replay->base = e->index - 1;
  if (e->index == 0 || e->index > last + 1)
    return qg_fail (err, QG_E_CORRUPT,
                    "entry %" G_GUINT64_FORMAT " follows %" G_GUINT64_FORMAT
                    " in segment %" G_GUINT64_FORMAT "; " STORE_REMEDY,
                    e->index, last, replay->segment);
  if (e->index <= replay->base)
    {
      g_ptr_array_set_size (replay->entries, 0);
      replay->base = e->index - 1;
    }
  else
    g_ptr_array_set_size (replay->entries, (gint)(e->index - replay->base - 1));
  data = g_bytes_new (e->data.data, e->data.len);
  g_ptr_array_add (replay->entries,
                   qg_cons_entry_new (e->index, e->term, e->kind, data));
  g_bytes_unref (data);
  replay->base_known = TRUE;
  replay->max_index = MAX (replay->max_index, e->index);
  return QG_OK;
}

QgStatus
store_replay_frame (const Qg__LogFrame *frame, gpointer user, QgErr *err)
{
  StoreReplay *replay = user;

  if (replay->first
      && (frame->version != STORE_FORMAT || frame->segment != replay->segment))
    return qg_fail (
        err, QG_E_CORRUPT,
        "segment %" G_GUINT64_FORMAT " has format %u, this program "
        "reads %d; start the version that wrote it, or " STORE_REMEDY,
        replay->segment, frame->version, STORE_FORMAT);
  replay->first = FALSE;
  if (frame->hard != NULL)
    {
      QgConsHardState hard = { frame->hard->term,  NULL,
                               frame->hard->disk,  frame->hard->boot,
                               frame->hard->nonce, frame->hard->bootstraps };

      if (frame->hard->vote != NULL && frame->hard->vote[0] != '\0')
        hard.vote = qg_str_new (frame->hard->vote);
      store_copy_hard_state (&replay->hard, &hard);
      if (hard.vote != NULL)
        qg_str_unref (hard.vote);
    }
  if (frame->reset != NULL)
    {
      g_ptr_array_set_size (replay->entries, 0);
      replay->base = frame->reset->index;
      replay->base_known = TRUE;
    }
  for (size_t i = 0; i < frame->n_entries; i++)
    {
      QgStatus status = replay_entry (replay, frame->entries[i], err);

      if (status != QG_OK)
        return status;
    }
  return QG_OK;
}

static void
pack_entries (Qg__LogFrame *frame, GPtrArray *entries, Qg__ConsEntry *storage)
{
  for (guint i = 0; i < frame->n_entries; i++)
    {
      const QgConsEntry *e = entries->pdata[i];
      gsize len;

      qg__cons_entry__init (&storage[i]);
      storage[i].index = e->index;
      storage[i].term = e->term;
      storage[i].kind = e->kind;
      storage[i].data.data = (guint8 *)g_bytes_get_data (e->data, &len);
      storage[i].data.len = len;
      frame->entries[i] = &storage[i];
    }
}

GByteArray *
store_pack_frame (guint64 segment, guint64 offset, gboolean first,
                  const QgConsHardState *hard, const QgConsSnapshot *reset,
                  GPtrArray *entries)
{
  Qg__LogFrame frame = QG__LOG_FRAME__INIT;
  Qg__LogHard packed_hard = QG__LOG_HARD__INIT;
  Qg__LogReset packed_reset = QG__LOG_RESET__INIT;
  guint n = entries != NULL ? entries->len : 0;
  Qg__ConsEntry *storage = g_new (Qg__ConsEntry, n);
  GByteArray *out = g_byte_array_new ();
  guint8 *payload;
  size_t len;

  frame.version = first ? STORE_FORMAT : 0;
  frame.segment = first ? segment : 0;
  packed_hard.term = hard->term;
  packed_hard.vote = hard->vote != NULL ? hard->vote : (char *)"";
  packed_hard.disk = hard->disk;
  packed_hard.boot = hard->boot;
  packed_hard.nonce = hard->nonce;
  packed_hard.bootstraps = hard->bootstraps;
  frame.hard = &packed_hard;
  if (reset != NULL)
    {
      packed_reset.index = reset->index;
      packed_reset.term = reset->term;
      frame.reset = &packed_reset;
    }
  frame.n_entries = n;
  frame.entries = g_new (Qg__ConsEntry *, n);
  pack_entries (&frame, entries, storage);
  len = qg__log_frame__get_packed_size (&frame);
  payload = g_malloc (len + 1);
  qg__log_frame__pack (&frame, payload);
  qg_store_append_frame (out, segment, offset, payload, len);
  g_free (payload);
  g_free (frame.entries);
  g_free (storage);
  return out;
}

GByteArray *
store_snapshot_pack (const QgConsSnapshot *snapshot)
{
  Qg__LogSnapshot packed = QG__LOG_SNAPSHOT__INIT;
  GByteArray *out = g_byte_array_new ();
  guint8 *payload;
  gsize len;

  packed.version = STORE_FORMAT;
  packed.index = snapshot->index;
  packed.term = snapshot->term;
  packed.members.data = (guint8 *)g_bytes_get_data (snapshot->members, &len);
  packed.members.len = len;
  packed.data.data = (guint8 *)g_bytes_get_data (snapshot->data, &len);
  packed.data.len = len;
  len = qg__log_snapshot__get_packed_size (&packed);
  payload = g_malloc (len + 1);
  qg__log_snapshot__pack (&packed, payload);
  qg_store_append_frame (out, snapshot->index, 0, payload, len);
  g_free (payload);
  return out;
}

/* NULL if the file is damaged. */
QgConsSnapshot *
store_snapshot_parse (GBytes *file, guint64 index)
{
  gsize len;
  const guint8 *data = g_bytes_get_data (file, &len);
  QgConsSnapshot *snapshot = NULL;
  Qg__LogSnapshot *packed;
  const guint8 *payload;
  guint32 size;

  if (!parse_frame (index, data, len, 0, &payload, &size)
      || size + FRAME_HEADER_BYTES != len)
    return NULL;
  packed = qg__log_snapshot__unpack (NULL, size, payload);
  if (packed != NULL && packed->version == STORE_FORMAT
      && packed->index == index)
    {
      GBytes *members = g_bytes_new (packed->members.data, packed->members.len);
      GBytes *state = g_bytes_new (packed->data.data, packed->data.len);

      snapshot = qg_cons_snapshot_new (index, packed->term, members, state);
      g_bytes_unref (members);
      g_bytes_unref (state);
    }
  if (packed != NULL)
    qg__log_snapshot__free_unpacked (packed, NULL);
  return snapshot;
}
