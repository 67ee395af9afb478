#include "lib/event.h"
#include "libcontrol.h"

/* Targets that leave. A leave is acknowledged once the log holds it. */

/** How long the answer to a deregistration is held back at least. The target
 * ends behind it, perhaps right after the last event of a stream: until then
 * relays can see the end of the stream and check that the target lives on.
 * Targets wait a second for an answer. */
#define ANSWER_DELAY (300 * QG_MSEC)

/** A leave that waits for the log, or for its answer. */
typedef struct
{
  QgControl *control;
  char *id;
  guint64 born_ms;
  guint64 sequence;
  gboolean gone;
  QgTime answer_at; /* at the earliest */
  guint timer;      /* source of the answer, or 0 */
  QgControlDone done;
  gpointer user;
} Leave;

static void on_saved (gpointer user, QgStatus status, const char *message,
                      const Qg__StateResult *result);
static void hold (Leave *leave);
static gboolean on_held (gpointer user);
static void answer (Leave *leave, QgStatus status, const char *message);

void
control_leave_save (QgControl *control, const char *id, QgControlDone done,
                    gpointer user)
{
  const QgTarget *target = qg_registry_unsaved_leave (control->registry, id);
  Qg__TargetLeave leave = QG__TARGET_LEAVE__INIT;
  GBytes *command;
  Leave *pending;

  if (target == NULL)
    {
      done (user, QG_OK, "");
      return;
    }
  leave.id = target->id;
  leave.service = target->service;
  leave.address = target->address;
  leave.dc = target->dc;
  leave.version = target->version;
  leave.slots = target->slots;
  leave.born_ms = target->born_ms;
  leave.sequence = target->sequence;
  leave.gone = target->left;
  pending = g_new0 (Leave, 1);
  pending->control = control;
  pending->id = g_strdup (id);
  pending->born_ms = target->born_ms;
  pending->sequence = target->sequence;
  pending->gone = target->left;
  pending->answer_at = target->left ? qg_clock_now () + ANSWER_DELAY : 0;
  pending->done = done;
  pending->user = user;
  command = qg_rsm_command_leave (&leave, control_log_now (control));
  control_propose (control, command, on_saved, pending);
  g_bytes_unref (command);
}

static void
on_saved (gpointer user, QgStatus status, const char *message,
          const Qg__StateResult *result)
{
  Leave *leave = user;

  qg_event (QG_EV_TARGET_LEAVES,
            "target=%s state=%s born=%" G_GUINT64_FORMAT
            " sequence=%" G_GUINT64_FORMAT ": %s %s",
            leave->id, leave->gone ? "gone" : "draining", leave->born_ms,
            leave->sequence, qg_status_name (status), message);
  if (status == QG_OK && leave->control->registry != NULL)
    qg_registry_leave_saved (leave->control->registry, leave->id,
                             leave->born_ms, leave->sequence, leave->gone);
  if (status == QG_OK && qg_clock_now () < leave->answer_at
      && !leave->control->closing)
    hold (leave);
  else
    answer (leave, status, message);
}

static void
hold (Leave *leave)
{
  QgTime rest = leave->answer_at - qg_clock_now ();

  g_queue_push_tail (&leave->control->held_leaves, leave);
  leave->timer = g_timeout_add ((guint)(rest / QG_MSEC) + 1, on_held, leave);
}

static gboolean
on_held (gpointer user)
{
  Leave *leave = user;

  g_queue_remove (&leave->control->held_leaves, leave);
  answer (leave, QG_OK, "");
  return G_SOURCE_REMOVE;
}

static void
answer (Leave *leave, QgStatus status, const char *message)
{
  leave->done (leave->user, status, message);
  g_free (leave->id);
  g_free (leave);
}

void
control_leaves_close (QgControl *control)
{
  Leave *leave;

  while ((leave = g_queue_pop_head (&control->held_leaves)) != NULL)
    {
      g_source_remove (leave->timer);
      answer (leave, QG_OK, "");
    }
}
