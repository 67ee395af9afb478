/**
 * @file answer.h
 * The answer of a stand-in (simulated) target. It depends on the request
 * alone, so that the caller can check that the answer is complete and belongs
 * to its own request.
 */
#ifndef BENCH_ANSWER_H
#define BENCH_ANSWER_H

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/** FNV-1a over @a len bytes. Continues from @a hash; 0 starts a new hash. */
static inline guint64
answer_hash (guint64 hash, const void *data, gsize len)
{
  const guint8 *byte = data;
  hash = hash ? hash : G_GUINT64_CONSTANT (0xcbf29ce484222325);
  for (gsize i = 0; i < len; i++)
    hash = (hash ^ byte[i]) * G_GUINT64_CONSTANT (0x100000001b3);
  return hash;
}

/** Appends token @a index of the answer to the prompt with hash @a seed. */
static inline void
answer_token (GString *out, guint64 seed, guint index)
{
  guint64 word = answer_hash (seed, &index, sizeof index);
  g_string_append_printf (out, "%06x ", (guint)(word >> 40));
}

/**
 * Finds "NAME=VALUE" in a prompt or in a request body of a plain service.
 *
 * @return the value up to the next space, quote, comma or backslash; "" if
 *   @a name isn't found. The caller frees it.
 */
static inline char *
answer_field (const char *text, const char *name)
{
  const char *at = strstr (text, name);
  if (at == NULL || at[strlen (name)] != '=')
    return g_strdup ("");
  at += strlen (name) + 1;
  return g_strndup (at, strcspn (at, " \",\\"));
}

/** Number of tokens that the stand-in counts for @a text: one for each 4 bytes,
 * rounded down, plus one. */
static inline guint
answer_prompt_tokens (const char *text)
{
  return (guint)(strlen (text) / 4) + 1;
}

#endif
