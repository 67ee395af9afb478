/**
 * @file clock.h
 * The clock of the daemon. It counts the time during which the VM is suspended,
 * unlike g_get_monotonic_time(): leases, deadlines and timeouts end on time for
 * the other processes, which go on meanwhile.
 */
#ifndef QG_CLOCK_H
#define QG_CLOCK_H

#include "lib/qg.h"

G_BEGIN_DECLS

/** Microseconds since the VM booted (CLOCK_BOOTTIME). */
QgTime qg_clock_now (void);

/** Logs if the VM was suspended since the last call. */
void qg_clock_check (void);

G_END_DECLS

#endif
