#include "libh1.h"

#include <sys/socket.h>
#include <unistd.h>

/* How long a refused connection stays open: longer than the rest of a request
 * is on its way, and than a busy caller takes to send it. */
#define REFUSED_TIME (250 * QG_MSEC)

static void on_timer (gpointer user);
static void close_oldest (H1Refused *refused);

void
h1_refused_init (H1Refused *refused, QgH1Loop *loop)
{
  refused->loop = loop;
  refused->timer.fire = on_timer;
  refused->timer.user = refused;
}

void
h1_refused_add (H1Refused *refused, int fd)
{
  guint at;

  if (shutdown (fd, SHUT_WR) != 0)
    {
      close (fd);
      return;
    }
  if (refused->n == H1_REFUSED_MAX)
    close_oldest (refused);
  at = (refused->first + refused->n++) % H1_REFUSED_MAX;
  refused->fds[at] = fd;
  refused->until[at] = qg_clock_now () + REFUSED_TIME;
  if (refused->n == 1)
    qg_h1_timer_set (refused->loop, &refused->timer, refused->until[at]);
}

void
h1_refused_clear (H1Refused *refused)
{
  qg_h1_timer_clear (refused->loop, &refused->timer);
  while (refused->n > 0)
    close_oldest (refused);
}

static void
on_timer (gpointer user)
{
  H1Refused *refused = user;
  QgTime now = qg_clock_now ();

  while (refused->n > 0 && refused->until[refused->first] <= now)
    close_oldest (refused);
  if (refused->n > 0)
    qg_h1_timer_set (refused->loop, &refused->timer,
                     refused->until[refused->first]);
}

/* Reads what came, because closing with unread bytes resets the connection. */
static void
close_oldest (H1Refused *refused)
{
  int fd = refused->fds[refused->first];
  char buffer[H1_READ_BYTES];

  for (int i = 0; i < H1_REFUSED_READS; i++)
    if (recv (fd, buffer, sizeof buffer, MSG_DONTWAIT) < (ssize_t)sizeof buffer)
      break;
  close (fd);
  refused->first = (refused->first + 1) % H1_REFUSED_MAX;
  refused->n--;
}
