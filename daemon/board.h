/**
 * @file board.h
 * The blackboard of one role: what is known of the fleet and whether new work
 * may be given. The uplink writes it; entry and agent read it and are told of
 * changes.
 */
#ifndef QG_BOARD_H
#define QG_BOARD_H

#include "lib/doc.h"
#include "lib/manifest.h"
#include "lib/poison.h"
#include "lib/settings.h"
#include "proto/peer.pb-c.h"

G_BEGIN_DECLS

/** Usual length of a permit, counted from its ask. */
#define QG_BOARD_LEASE_US (2600 * QG_MSEC)

/** What changed; bits for listeners. */
enum
{
  QG_BOARD_DOC = 1 << 0,
  QG_BOARD_DIRECTORY = 1 << 1,
  QG_BOARD_PERMIT = 1 << 2,
  QG_BOARD_QUARANTINE = 1 << 3,
  QG_BOARD_MANIFEST = 1 << 4,
  QG_BOARD_TARGETS = 1 << 5,
};

typedef struct QgBoard QgBoard;

typedef void (*QgBoardChanged) (gpointer user, guint what);

/** The board of one role; members are read by all, written by the uplink. */
struct QgBoard
{
  QgSettings *settings;
  QgDoc *doc;       /**< never NULL; empty until the first update */
  guint64 revision; /**< of doc; never falls */
  guint64 term;     /**< of the latest permit; never falls */
  QgTime permit_until;
  gboolean target_drains; /**< the permit asks this daemon's target to leave */
  guint64 directory_version;
  GHashTable *directory;        /**< name to Qg__DirEntry */
  QgManifestRead read_manifest; /**< NULL: this role uses no manifest */
  QgManifest *manifest;         /**< NULL until the first update */
  guint64 change;               /**< of the manifest; never falls */
  char **drained;               /**< data centres; NULL terminated */
  guint64 targets_version;
  const Qg__TargetUpdate *targets; /**< during QG_BOARD_TARGETS only */
  GHashTable *suspects;            /**< fingerprint (GBytes) to QgPoisonLevel */
  QgBoardChanged changed;
  gpointer changed_user;
};

/** @param changed told of each change; NULL for an owner that only looks. */
QgBoard *qg_board_new (QgSettings *settings, QgBoardChanged changed,
                       gpointer user);
void qg_board_free (QgBoard *board);

/**
 * Takes a document or a delta.
 *
 * @return FALSE when it does not follow the present revision; the caller then
 *   asks for the whole document.
 */
gboolean qg_board_take_update (QgBoard *board, const Qg__DocUpdate *update);

/** Takes directory entries of the leader. */
void qg_board_take_directory (QgBoard *board, const Qg__Directory *directory);

/**
 * Takes a manifest or what changed beside it.
 *
 * @return FALSE when the text is needed and was not sent.
 */
gboolean qg_board_take_manifest (QgBoard *board,
                                 const Qg__ManifestUpdate *update);

/** Takes targets that announced themselves. */
void qg_board_take_targets (QgBoard *board, const Qg__TargetUpdate *update);

/** Takes levels of requests that crashed targets. */
void qg_board_take_quarantine (QgBoard *board,
                               const Qg__Quarantine *quarantine);

/** Takes a permit that was asked for at @a asked_at. */
void qg_board_take_permit (QgBoard *board, const Qg__Permit *permit,
                           QgTime asked_at);

/** Whether the document lets @a dc have new work; unknown ones may not. */
gboolean qg_board_dc_is_in (const QgBoard *board, const char *dc);

/** Whether this process may give new work at @a now. */
gboolean qg_board_may_start (const QgBoard *board, QgTime now);

/** How a request with this fingerprint must be kept from others. */
QgPoisonLevel
qg_board_level (const QgBoard *board,
                const guint8 fingerprint[QG_POISON_FINGERPRINT_BYTES]);

G_END_DECLS

#endif
