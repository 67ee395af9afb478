/**
 * @file libagent.h
 * Internal header of the agent: agent.c (links to entries, pulls),
 * agent_assign.c (admission of a request), agent_claim.c (idempotency key
 * claims), agent_job.c (one request at the target), agent_answer.c (readers of
 * answers, crash reports), agent_order.c (orders to the target) and
 * agent_probe.c (health checks of the target).
 */
#ifndef QG_LIBAGENT_H
#define QG_LIBAGENT_H

#include "clock.h"
#include "agent.h"
#include "board.h"
#include "lib/answer.h"
#include "lib/isolate.h"
#include "lib/meter.h"
#include "lib/once.h"
#include "lib/received.h"
#include "lib/schedule.h"
#include "lib/sse.h"
#include "peer.h"
#include "run.h"
#include "trace.h"
#include "uplink.h"

#include <libsoup/soup.h>

/** A connection to one entry. */
typedef struct
{
  QgAgent *agent;
  QgPeer *peer;
  char *name; /* name of the entry in the directory */
  char *address;
  guint number;        /* id in the scheduler; 0 while the peer is not up */
  guint64 incarnation; /* incarnation of the entry while the peer is up */
} QgAgentLink;

typedef struct QgAgentProbe QgAgentProbe;
typedef struct QgAgentOrders QgAgentOrders;

struct QgAgent
{
  QgSettings *settings;
  const QgSettingsAgent *config; /* this agent's section of settings */
  guint64 incarnation;
  QgPeerHub *hub;
  QgBoard *board;
  QgUplink *uplink;
  QgSched *sched;
  QgRunPool *runs;
  QgTrace *trace; /* NULL when off */
  QgAgentProbe *probe;
  QgAgentOrders *orders;
  GHashTable *links;      /* entry name to QgAgentLink */
  GHashTable *received;   /* entry name to QgReceived */
  GHashTable *by_number;  /* QgAgentLink.number to QgAgentLink */
  GHashTable *workspaces; /* set of names whose weight was set */
  GHashTable *jobs;       /* set of QgAgentJob */
  QgAnswers *answers;     /* their user: the QgAgentJob while it runs */
  QgIsolate *isolate;
  guint64 last_job;
  QgServiceKind kind;
  gboolean draining;
  gboolean target_drains; /* drain flag of the target in the document */
  char *boot_id;
  guint wakeup_timer;
  guint maintenance_timer;
  QgTime reported_at; /* time of the latest fair share report */
  guint crash_timer;  /* nonzero while a crash check is scheduled */
};

/** State of a request at an agent. */
typedef enum
{
  QG_AGENT_HELD,     /**< suspected of crashes: waits to run alone */
  QG_AGENT_CLAIMING, /**< waits for the claim of its idempotency key */
  QG_AGENT_RUNNING   /**< at the target */
} QgAgentStage;

/** A request that this agent accepted, until it ends. */
typedef struct
{
  QgAgent *agent;
  guint64 number; /* unique at this agent */
  QgAgentStage stage;
  Qg__Assign *assign; /* owned; kept after sending if once is set */
  QgAnswer *answer;   /* NULL once the job can have no more readers */
  QgSchedJob *slot;   /* NULL under the baseline policy */
  QgRun *run;         /* while RUNNING */
  QgMeter *meter;
  QgTime deadline;
  guint timer; /* next claim attempt, or the deadline while RUNNING; else 0 */
  guint64 claim_seq;     /* seq of the latest claim; 0 if none was sent */
  QgTime claim_deadline; /* when the job stops asking for the claim */
  guint64 length;        /* answer body bytes so far */
  guint status;
  gboolean got_first_byte;
  gboolean is_event_stream; /* the answer is text/event-stream */
  gboolean until_close;     /* the answer's body ends with the connection */
  QgSse sse;                /* the events of the answer */
  gboolean timed_out;
  gboolean once; /* at most once: runs only under a claim */
  char *workspace;
  QgSpan span;
} QgAgentJob;

/** Sends the pulls and credits that the scheduler has ready, and sets the timer
 * for the next ones. */
void qg_agent_pump (QgAgent *agent);

/** Compares the boot id of an answer, NULL or empty if it has none, with the
 * last: another id means that the target restarted. */
void qg_agent_check_boot_id (QgAgent *agent, const char *id);

/** Handles a request from the entry of @a link. */
void qg_agent_assign (QgAgentLink *link, const Qg__Assign *assign);

/** Returns a request that did not run to its entry. */
void qg_agent_bounce (QgAgentLink *link, guint64 request_id);

/** Claims the job's key, or starts the job if it needs no claim. */
void qg_agent_job_proceed (QgAgentJob *job);

/** Sends the request to the target. */
void qg_agent_job_start (QgAgentJob *job);

/** Ends and frees a job that was not sent; its readers get @a fail. */
void qg_agent_job_refuse (QgAgentJob *job, Qg__ReplyFail *fail);

/** Ends a job whose answer has no readers. Does nothing if the key of the job
 * is claimed or being claimed. */
void qg_agent_job_abandon (QgAgentJob *job);

/** Pauses or resumes reading the answer of a job that was sent. */
void qg_agent_job_set_paused (QgAgentJob *job, gboolean paused);

/** Frees a job that ended. With @a has_next, the held job with number @a next
 * continues. */
void qg_agent_job_free (QgAgentJob *job, gboolean has_next, guint64 next);

/** Asks the control members for the claim of the job's key; the job is started
 * or refused when they answer. */
void qg_agent_claim (QgAgentJob *job);

/** Reports the end of a claimed job to the control members. @a released: the
 * request did not run, and the key may be claimed again; @a unknown: the
 * request may have run. */
void qg_agent_claim_settle (QgAgentJob *job, gboolean released,
                            gboolean unknown);

/** Sends the readers of @a answer all that their windows allow. */
void qg_agent_answer_pump (QgAnswer *answer);

/** Ends an answer and sends @a fail to its readers. */
void qg_agent_answer_fail (QgAnswer *answer, const Qg__ReplyFail *fail);

/** Records that a request arrived from the entry of @a link. */
void qg_agent_record_assign (QgAgentLink *link, guint64 number);

/** Handlers of an entry's messages about an answer. */
void qg_agent_attach (QgAgentLink *link, const Qg__Attach *attach);
void qg_agent_cancel (QgAgentLink *link, guint64 request_id);
void qg_agent_window (QgAgentLink *link, const Qg__Window *window);

/** The key under which agent->answers stores a request of an entry. */
QgAnswerOrigin qg_agent_origin (const QgAgentLink *link, guint64 request_id);

/** Schedules a check whether the target crashed, after the connection of a
 * request broke. */
void qg_agent_schedule_crash_check (QgAgent *agent);
/** Reports a crash of the target to control, and releases what it holds. */
void qg_agent_report_crash (QgAgent *agent, QgIsolateCrash *crash);

/** Periodic work: drops expired answers, ends jobs without readers, refuses a
 * held job past its deadline, and reports a crash of the target. */
void qg_agent_maintain (QgAgent *agent);

/** Tells the scheduler whether the agent accepts new requests. */
void qg_agent_update_admission (QgAgent *agent);

/** Starts health checks of the target; results go to the scheduler. */
QgAgentProbe *qg_agent_probe_new (QgAgent *agent);
void qg_agent_probe_free (QgAgentProbe *probe);

/** Sends the orders (drain, version to load) that the document has for the
 * target, with fencing numbers, if the agent's settings have an order_path. */
QgAgentOrders *qg_agent_orders_new (QgAgent *agent);
void qg_agent_orders_free (QgAgentOrders *orders);
/** Sends the current order. Does nothing if the target already has it. */
void qg_agent_orders_sync (QgAgentOrders *orders);
/** Sends the order again after the target lost it in a restart. */
void qg_agent_orders_target_restarted (QgAgentOrders *orders);
/** Whether another agent with a newer document controls the target. */
gboolean qg_agent_orders_superseded (const QgAgentOrders *orders);

#endif
