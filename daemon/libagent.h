/**
 * @file libagent.h
 * What the files of the agent family share: agent.c (links and pulls),
 * agent_assign.c (admission of a request), agent_claim.c (claims of keys),
 * agent_job.c (one request at the target), agent_answer.c (readers of answers)
 * and agent_probe.c (the target's health).
 */
#ifndef QG_LIBAGENT_H
#define QG_LIBAGENT_H

#include "agent.h"
#include "board.h"
#include "lib/answer.h"
#include "lib/isolate.h"
#include "lib/meter.h"
#include "lib/once.h"
#include "lib/schedule.h"
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
  char *name; /* of the entry, from the directory */
  char *address;
  guint number;        /* in the scheduler while the peer is up, else 0 */
  guint64 incarnation; /* of the entry, while the peer is up */
} QgAgentLink;

typedef struct QgAgentProbe QgAgentProbe;
typedef struct QgAgentOrders QgAgentOrders;

struct QgAgent
{
  QgSettings *settings;
  const QgSettingsAgent *own;
  guint64 incarnation;
  QgPeerHub *hub;
  QgBoard *board;
  QgUplink *uplink;
  QgSched *sched;
  SoupSession *session;
  QgTrace *trace; /* NULL when off */
  QgAgentProbe *probe;
  QgAgentOrders *orders;
  GHashTable *links;      /* entry name to QgAgentLink */
  GHashTable *by_number;  /* scheduler's number to QgAgentLink */
  GHashTable *workspaces; /* names whose weight the scheduler knows */
  GHashTable *jobs;       /* of QgAgentJob, a set */
  QgAnswers *answers;     /* the user of a running one is its QgAgentJob */
  QgIsolate *isolate;
  guint64 last_job;
  QgServiceKind kind;
  gboolean draining;
  gboolean target_drains; /* as the document says */
  char *boot_id;
  guint wakeup_timer;
  guint report_timer;
  guint crash_timer; /* until broken connections are judged */
};

/** Where a request of an agent is. */
typedef enum
{
  QG_AGENT_HELD,     /**< a suspect: waits until nothing else runs */
  QG_AGENT_CLAIMING, /**< waits for its claim */
  QG_AGENT_RUNNING   /**< at the target */
} QgAgentStage;

/** A request that this agent took, until it ended. */
typedef struct
{
  QgAgent *agent;
  guint64 number; /* of the job at this agent */
  QgAgentStage stage;
  Qg__Assign *assign; /* own copy, until it was sent */
  QgAnswer *answer;   /* NULL once nobody can want it any more */
  QgSchedJob *job;    /* NULL under the baseline policy */
  QgRun *run;         /* while RUNNING */
  QgMeter *meter;
  QgTime deadline;
  guint deadline_timer;
  guint64 claim_seq;  /* of its latest claim, else 0 */
  QgTime claim_until; /* when it gives up claiming */
  guint64 length;     /* of the body */
  guint status;
  gboolean first_seen;
  gboolean streams; /* the answer is an event stream */
  gboolean timed_out;
  gboolean once;
  char *workspace;
  QgSpan span;
} QgAgentJob;

/** Sends what the scheduler wants to send, and sleeps until it wants more. */
void qg_agent_pump (QgAgent *agent);

/** The target's answers carry a boot id; a new one means that it restarted. */
void qg_agent_see_boot_id (QgAgent *agent, SoupMessageHeaders *headers);

/** A request came from the entry of @a link. */
void qg_agent_assign (QgAgentLink *link, const Qg__Assign *assign);

/** The job may go on: claims its key, or runs. */
void qg_agent_job_go (QgAgentJob *job);

/** Sends the request to the target. */
void qg_agent_job_start (QgAgentJob *job);

/** Ends a job that was not sent; @a fail says why. The job is gone then. */
void qg_agent_job_refuse (QgAgentJob *job, Qg__ReplyFail *fail);

/** Nobody wants the answer: ends the job unless it was claimed. */
void qg_agent_job_abandon (QgAgentJob *job);

/** Frees a job that ended; a held one may go on then. */
void qg_agent_job_free (QgAgentJob *job, gboolean has_next, guint64 next);

/** Asks for the claim of the key; then the job goes on or is refused. */
void qg_agent_claim (QgAgentJob *job);

/** Says how claimed work ended. */
void qg_agent_claim_settle (QgAgentJob *job, gboolean released,
                            gboolean unknown);

/** Sends the readers of @a answer what they may have now. */
void qg_agent_answer_pump (QgAnswer *answer);

/** Ends an answer; @a fail goes to its readers. */
void qg_agent_answer_fail (QgAnswer *answer, const Qg__ReplyFail *fail);

/** Messages of an entry about an answer. */
void qg_agent_attach (QgAgentLink *link, const Qg__Attach *attach);
void qg_agent_cancel (QgAgentLink *link, guint64 request_id);
void qg_agent_window (QgAgentLink *link, const Qg__Window *window);

/** The request of an entry as answers know it. */
QgAnswerOrigin qg_agent_origin (const QgAgentLink *link, guint64 request_id);

/** The connection of a request broke: judges later whether the target crashed.
 */
void qg_agent_watch_crash (QgAgent *agent);

/** Drops old answers, ends runs nobody reads, and reports a crash. */
void qg_agent_tend (QgAgent *agent);

/** Tells the scheduler whether new work may come. */
void qg_agent_admit (QgAgent *agent);

/** Starts probing the target; results go to the scheduler. */
QgAgentProbe *qg_agent_probe_new (QgAgent *agent);
void qg_agent_probe_free (QgAgentProbe *probe);

/** Orders of the document to the target, with fencing numbers; only to targets
 * whose settings name an order_path. */
QgAgentOrders *qg_agent_orders_new (QgAgent *agent);
void qg_agent_orders_free (QgAgentOrders *orders);
/** Sends what the document orders now, unless the target has it. */
void qg_agent_orders_tend (QgAgentOrders *orders);
/** The target restarted and has forgotten its orders. */
void qg_agent_orders_restarted (QgAgentOrders *orders);
/** Another agent with a newer document stands before the target. */
gboolean qg_agent_orders_superseded (const QgAgentOrders *orders);

#endif
