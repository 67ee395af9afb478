/**
 * @file board.h
 * The fleet state that one role receives from the control leader, and whether
 * the role may start new work. The uplink writes this state; the role reads it
 * and is notified of changes.
 */
#ifndef QG_BOARD_H
#define QG_BOARD_H

#include "lib/doc.h"
#include "lib/manifest.h"
#include "lib/poison.h"
#include "lib/settings.h"
#include "proto/peer.pb-c.h"

G_BEGIN_DECLS

/** Default lifetime of a permit, counted from its request. */
#define QG_BOARD_DEFAULT_PERMIT_US (2600 * QG_MSEC)

/** Change flags passed to QgBoardChanged. */
enum
{
  QG_BOARD_DOC = 1 << 0,
  QG_BOARD_DIRECTORY = 1 << 1,
  QG_BOARD_PERMIT = 1 << 2,
  QG_BOARD_QUARANTINE = 1 << 3,
  QG_BOARD_MANIFEST = 1 << 4,
  QG_BOARD_TARGETS = 1 << 5,
  QG_BOARD_SYNC = 1 << 6,
};

typedef struct QgBoard QgBoard;

/** @param changes which parts changed: QG_BOARD_* flags. */
typedef void (*QgBoardChanged) (gpointer user, guint changes);

/** Fields may be read directly; only the uplink writes them. */
struct QgBoard
{
  QgSettings *settings;
  QgDoc *doc;       /**< never NULL; empty until the first update */
  guint64 revision; /**< revision of doc; never decreases */
  guint64 term;     /**< term of the latest permit; never decreases */
  QgTime permit_until;
  QgTime permit_asked_at; /**< when the latest permit was requested */
  QgTime synced_at; /**< the leader has told everything until then; 0: never */
  gboolean target_drains; /**< the leader drains this daemon's target */
  guint64 directory_version;
  GHashTable *directory;       /**< name to Qg__DirEntry */
  gboolean directory_is_whole; /**< a leader has sent all entries at once */
  QgManifestReadFunc read_manifest; /**< NULL: this role uses no manifest */
  QgManifest *manifest;             /**< NULL until the first update */
  guint64 manifest_change;          /**< number of the last manifest change */
  guint64 manifest_previous;        /**< version before it; 0: none */
  QgTime manifest_accepted_at;      /**< when control accepted it */
  char **drained_dcs; /**< names of drained data centres; NULL terminated */
  guint64 targets_version;
  const Qg__TargetUpdate *targets; /**< NULL except during QG_BOARD_TARGETS */
  GHashTable *suspects;            /**< fingerprint (GBytes) to QgPoisonLevel */
  QgBoardChanged changed;
  gpointer changed_user;
};

/** @param changed called on each change; may be NULL. */
QgBoard *qg_board_new (QgSettings *settings, QgBoardChanged changed,
                       gpointer user);
void qg_board_free (QgBoard *board);

/**
 * Applies a document or a delta.
 *
 * @return FALSE when @a update is invalid or a delta from another revision; the
 *   caller then requests the whole document.
 */
gboolean qg_board_apply_update (QgBoard *board, const Qg__DocUpdate *update);

/** Applies directory entries from the leader. */
void qg_board_apply_directory (QgBoard *board, const Qg__Directory *directory);

/**
 * Applies a manifest and the list of drained data centres.
 *
 * @return FALSE when the text of a newer manifest is missing or invalid.
 */
gboolean qg_board_apply_manifest (QgBoard *board,
                                  const Qg__ManifestUpdate *update);

/** Passes target registrations to the changed callback. */
void qg_board_apply_targets (QgBoard *board, const Qg__TargetUpdate *update);

/** Records the isolation levels of requests suspected of crashing targets, and
 * notifies the listener. */
void qg_board_apply_quarantine (QgBoard *board,
                                const Qg__Quarantine *quarantine);

/** Applies a permit that was requested at @a asked_at. */
void qg_board_apply_permit (QgBoard *board, const Qg__Permit *permit,
                            QgTime asked_at);

/** Records that the leader has told everything until @a asked_at. */
void qg_board_apply_sync (QgBoard *board, QgTime asked_at);

/** Whether the document has @a dc in service; FALSE for an unknown data centre.
 */
gboolean qg_board_dc_in_service (const QgBoard *board, const char *dc);

/** Whether the permit is valid at @a now, so that the document is the newest or
 * was until a lease ago. */
gboolean qg_board_has_permit (const QgBoard *board, QgTime now);

/** Whether this process may start new work at @a now. */
gboolean qg_board_may_start_work (const QgBoard *board, QgTime now);

/** Whether any request or prompt part is suspected of crashing targets. */
gboolean qg_board_has_suspects (const QgBoard *board);

/** How far a request with this fingerprint must be isolated from others. */
QgPoisonLevel
qg_board_poison_level (const QgBoard *board,
                       const guint8 fingerprint[QG_POISON_FINGERPRINT_BYTES]);

G_END_DECLS

#endif
