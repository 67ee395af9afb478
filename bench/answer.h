/**
 * @file answer.h
 * The answer that a stand-in target gives to a request: a function of the
 * request alone, so that a caller can check that it got the whole answer to
 * its own request.
 */
#ifndef BENCH_ANSWER_H
#define BENCH_ANSWER_H

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/** FNV-1a over @a len bytes, continued from @a hash (0 starts). */
static inline guint64
answer_hash (guint64 hash, const void *data, gsize len)
{
  const guint8 *byte = data;
  hash = hash ? hash : G_GUINT64_CONSTANT (0xcbf29ce484222325);
  for (gsize i = 0; i < len; i++)
    hash = (hash ^ byte[i]) * G_GUINT64_CONSTANT (0x100000001b3);
  return hash;
}

/** Appends token @a index of the answer to a prompt that hashes to @a seed. */
static inline void
answer_token (GString *out, guint64 seed, guint index)
{
  guint64 word = answer_hash (seed, &index, sizeof index);
  g_string_append_printf (out, "%06x ", (guint)(word >> 40));
}

/**
 * Reads "NAME=VALUE" out of a prompt (or a body of a plain service).
 *
 * @return the value up to the next space, quote or comma; "" if there is none.
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

/** Tokens in @a text as the stand-in counts them: four bytes each. */
static inline guint
answer_prompt_tokens (const char *text)
{
  return (guint)(strlen (text) / 4) + 1;
}

#endif
