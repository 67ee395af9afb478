#include "libpoison.h"

#include <string.h>

static void hash_parts (const char *const *parts, gsize n, gconstpointer tail,
                        gsize len, guint8 out[QG_POISON_FINGERPRINT_BYTES]);

void
qg_poison_body_hash (const char *method, const char *path, gconstpointer body,
                     gsize len, guint8 out[QG_POISON_FINGERPRINT_BYTES])
{
  const char *parts[] = { method, path };

  hash_parts (parts, G_N_ELEMENTS (parts), body, len, out);
}

void
qg_poison_fingerprint (const char *workspace, const char *service,
                       gconstpointer body_hash, gsize len,
                       guint8 out[QG_POISON_FINGERPRINT_BYTES])
{
  const char *parts[] = { workspace, service };

  hash_parts (parts, G_N_ELEMENTS (parts), body_hash, len, out);
}

void
qg_poison_part_fingerprint (const char *service, guint64 part,
                            guint8 out[QG_POISON_FINGERPRINT_BYTES])
{
  const char *parts[] = { "part", service };
  guint64 id = GUINT64_TO_LE (part);

  hash_parts (parts, G_N_ELEMENTS (parts), &id, sizeof id, out);
}

guint64
qg_poison_request_key (const char *workspace, const char *method,
                       const char *url, gconstpointer body, gsize len)
{
  const char *const parts[] = { workspace, method, url };
  guint64 hash = POISON_FNV1A_BEGIN;

  for (gsize i = 0; i < G_N_ELEMENTS (parts); i++)
    hash = poison_fnv1a (hash, parts[i], strlen (parts[i]) + 1);
  return poison_fnv1a (hash, body, len);
}

guint64
poison_fnv1a (guint64 hash, gconstpointer data, gsize len)
{
  const guint8 *bytes = data;

  for (gsize i = 0; i < len; i++)
    hash = (hash ^ bytes[i]) * G_GUINT64_CONSTANT (1099511628211);
  return hash;
}

/* Hashes the terminating zero of each part as well, so that ("a", "bc") and
 * ("ab", "c") give different hashes. */
static void
hash_parts (const char *const *parts, gsize n, gconstpointer tail, gsize len,
            guint8 out[QG_POISON_FINGERPRINT_BYTES])
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize size = QG_POISON_FINGERPRINT_BYTES;

  for (gsize i = 0; i < n; i++)
    g_checksum_update (sum, (const guchar *)parts[i],
                       (gssize)strlen (parts[i]) + 1);
  g_checksum_update (sum, tail, (gssize)len);
  g_checksum_get_digest (sum, out, &size);
  g_checksum_free (sum);
}
