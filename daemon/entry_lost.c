#include "libentry.h"

#include "lib/event.h"

/* How long a report waits for a leader. */
#define REPORT_TIMEOUT (60 * QG_SEC)

static void report (QgEntry *entry, const char *agent,
                    const QgLostCrash *crash);
static void record_own (QgEntry *entry, const char *agent,
                        const QgLostCrash *crash);

void
qg_entry_remember_lost (QgEntry *entry, const QgCall *call)
{
  const QgEntryAssigned *assigned
      = g_hash_table_lookup (entry->assigned, call->agent_name);
  QgLostRequest lost = { .agent = call->agent_name,
                         .incarnation = call->agent_incarnation,
                         .service = call->service,
                         .fingerprint = call->fingerprint,
                         .alone = call->level >= QG_POISON_ALONE };

  if (call->assign_number == 0) /* it waits for the answer to another call */
    return;
  lost.sound = assigned != NULL && assigned->answered
               && assigned->incarnation == call->agent_incarnation;
  qg_lost_work_add (entry->lost_work, &lost, qg_clock_now ());
}

void
qg_entry_report_lost (QgEntry *entry, const QgEntryAgent *agent)
{
  QgLostCrash *crash = qg_lost_work_connected (
      entry->lost_work, agent->name, agent->incarnation, qg_clock_now ());

  if (crash == NULL)
    return;
  qg_event (QG_EV_AGENT_ENDED,
            "agent %s of service %s ended with requests of this entry; %u "
            "fingerprints are reported",
            agent->name, crash->service, crash->fingerprints->len);
  record_own (entry, agent->name, crash);
  report (entry, agent->name, crash);
  qg_lost_crash_free (crash);
}

static void
report (QgEntry *entry, const char *agent, const QgLostCrash *crash)
{
  Qg__PeerMsg msg = QG__PEER_MSG__INIT;
  Qg__CrashAsk ask = QG__CRASH_ASK__INIT;
  guint n
      = MIN (crash->fingerprints->len, (guint)QG_POISON_MAX_CRASH_FINGERPRINTS);

  ask.seq = qg_uplink_next_seq (entry->uplink);
  ask.service = crash->service;
  ask.agent = (char *)agent;
  ask.incarnation = crash->incarnation;
  ask.agent_ended = TRUE;
  ask.sound = crash->sound;
  ask.n_fingerprints = n;
  ask.fingerprints = g_new (ProtobufCBinaryData, n);
  for (guint i = 0; i < n; i++)
    ask.fingerprints[i]
        = (ProtobufCBinaryData){ QG_POISON_FINGERPRINT_BYTES,
                                 g_ptr_array_index (crash->fingerprints, i) };
  msg.kind_case = QG__PEER_MSG__KIND_CRASH_ASK;
  msg.crash_ask = &ask;
  qg_uplink_request (entry->uplink, &msg, ask.seq,
                     qg_clock_now () + REPORT_TIMEOUT, NULL, NULL);
  g_free (ask.fingerprints);
}

static void
record_own (QgEntry *entry, const char *agent, const QgLostCrash *crash)
{
  for (guint i = 0; i < crash->fingerprints->len; i++)
    {
      QgSuspectCrash own
          = { .service = crash->service,
              .agent = agent,
              .incarnation = crash->incarnation,
              .fingerprint = g_ptr_array_index (crash->fingerprints, i),
              .level = crash->fingerprints->len == 1 ? QG_POISON_ALONE
                                                     : QG_POISON_CLEAR };

      qg_suspect_record_crash (entry->suspects, &own, qg_clock_now ());
    }
}
