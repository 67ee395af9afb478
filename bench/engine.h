/**
 * @file engine.h
 * The engine of a stand-in target: a queue, slots, a batch that makes one token
 * a step for each running request, cold starts and the journal.
 */
#ifndef BENCH_ENGINE_H
#define BENCH_ENGINE_H

#include <libsoup/soup.h>

/** Options and switches, see docs/BENCH.md. */
typedef struct
{
  char *name, *journal, *poison, *fence;
  double port, model, slots, cold_slots, queue, cold_s, cold_crash;
  double token_ms, batch_slow, prefill_us, work_ms, slow, stall;
} Options;

extern Options opt;

/** One request at the target. */
typedef struct
{
  SoupServerMessage *msg;
  char *workspace, *tag, *text;
  const char *request_id, *key; /* of the headers of msg */
  guint64 seed;
  guint prompt_tokens, made, wanted;
  gboolean stream, started, left;
  gint64 ready_at;
  GString *answer;
} Job;

/** What the front does with the answers. */
typedef struct
{
  void (*token) (Job *job, const char *text);
  void (*done) (Job *job);
} EngineOps;

void engine_start (const EngineOps *ops);

/** Queues @a job, which the engine frees when it ends or the caller leaves. */
void engine_submit (Job *job);

/** Admits what can run, after a change of the options. */
void engine_kick (void);

/** Whether one more request would be too much; counted when cold. */
gboolean engine_overloaded (const char *request_id);

void engine_go_cold (void);

/** A new boot id, as after a restart. */
void engine_new_boot (void);

const char *engine_boot_id (void);

/** State as JSON, freed by the caller. */
char *engine_health (void);

/** Writes a line to the journal. */
void journal (const char *format, ...) G_GNUC_PRINTF (1, 2);

#endif
