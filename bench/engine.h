/**
 * @file engine.h
 * The engine of a stand-in (simulated) target: a request queue, slots, batched
 * decoding with one token per step for each running request, cold starts and
 * the journal, a log of events that the checkers read.
 */
#ifndef BENCH_ENGINE_H
#define BENCH_ENGINE_H

#include <libsoup/soup.h>

/**
 * Command-line options, most of which POST /switch/NAME changes at run time.
 * docs/BENCH.md lists them.
 */
typedef struct
{
  char *name, *journal, *poison, *fence;
  double port, model, slots, cold_slots, queue, cold_s, cold_crash;
  double token_ms, batch_slow, prefill_us, work_ms, slow, stall;
} Options;

extern Options opt;

/** One request that the target has accepted. */
typedef struct
{
  SoupServerMessage *msg;
  /* prompt_id is the "id=" field of the prompt. text is the prompt; for a
   * plain service it is the method, the path and the body. */
  char *workspace, *prompt_id, *text;
  /* owned by the headers of msg */
  const char *request_id, *key, *attempt;
  guint64 seed;
  /* wanted: tokens to generate; milliseconds of work for a plain service */
  guint prompt_tokens, n_generated, wanted;
  gboolean stream, started, disconnected;
  gint64 ready_at; /* end of the prefill, or of a plain service's work */
  GString *answer;
} Job;

/** Callbacks into the HTTP server. */
typedef struct
{
  void (*token) (Job *job, const char *text); /* a token of a stream */
  void (*done) (Job *job);                    /* the answer is complete */
} EngineOps;

void engine_start (const EngineOps *ops);

/** Queues @a job and takes ownership of it. */
void engine_submit (Job *job);

/** Starts waiting jobs and the step timer, as the options now allow. */
void engine_resume (void);

/**
 * TRUE when the target has no room for one more request and must reject it. If
 * the target is cold, this call also counts and logs the rejection, and ends
 * the process if cold_crash is set.
 */
gboolean engine_overloaded (const char *request_id);

/** Starts a cold period of cold_s seconds. */
void engine_go_cold (void);

/** Sets a new boot id, as after a restart. */
void engine_new_boot (void);

const char *engine_boot_id (void);

/** Returns the state as JSON; the caller frees it. */
char *engine_health (void);

/** Writes a line to the journal, with the monotonic time in microseconds. */
void journal (const char *format, ...) G_GNUC_PRINTF (1, 2);

#endif
