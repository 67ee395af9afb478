/**
 * @file call_events.h
 * Which answers are checked for the order of their events, and from where on.
 */
#ifndef QG_CALL_EVENTS_H
#define QG_CALL_EVENTS_H

#include "call.h"

/**
 * Prepares the call for the events of the answer that @a reply begins: sets
 * QgCall.events if they can be checked.
 *
 * @return an error if the answer can't go on after the caller's last event.
 */
QgStatus qg_call_events_begin (QgCall *call, const Qg__ReplyHead *reply,
                               QgErr *err);

#endif
