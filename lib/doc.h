/**
 * @file doc.h
 * The configuration document: one INI text whose sections belong to teams.
 * A QgDoc is immutable and reference counted; a change makes a new document
 * that shares every unchanged section with the old one.
 *
 * Order and spacing between sections carry no meaning: qg_doc_format() writes
 * them sorted by kind and name, so that equal documents have equal bytes.
 */
#ifndef QG_DOC_H
#define QG_DOC_H

#include "ini_table.h"

G_BEGIN_DECLS

/** Kinds of sections, in the order of qg_doc_format(). */
typedef enum
{
  QG_DOC_DC,
  QG_DOC_SERVICE,
  QG_DOC_TARGET,
  QG_DOC_WORKSPACE,
  QG_DOC_GRANT,
  QG_N_DOC_KINDS
} QgDocKind;

/** [dc NAME] */
typedef struct
{
  QgStr *name;
  QgStr *region;
  guint64 state; /**< QgDcState */
} QgDocDc;

/** Whether a data centre gets new work. */
typedef enum
{
  QG_DC_IN,
  QG_DC_OUT
} QgDcState;

/** What a service runs. */
typedef enum
{
  QG_SERVICE_MODEL, /**< counted in tokens */
  QG_SERVICE_PLAIN  /**< counted in milliseconds of a slot */
} QgServiceKind;

/** [service NAME] */
typedef struct
{
  QgStr *name;
  guint64 kind;          /**< QgServiceKind */
  QgNames once;          /**< methods that are not idempotent */
  guint64 slots;         /**< requests a warm target runs at once */
  guint64 cold_slots;    /**< requests a cold target runs at once */
  guint64 cold_ms;       /**< how long a target stays cold */
  guint64 deadline_ms;   /**< default deadline of a request */
  guint64 max_tokens;    /**< largest answer, for models */
  guint64 retry_percent; /**< retries allowed per 100 requests */
} QgDocService;

/** [target NAME]; NAME is the agent's. */
typedef struct
{
  QgStr *name;
  gboolean drain;
  QgStr *version; /**< version the target is to load; empty: any */
} QgDocTarget;

/** [workspace NAME] */
typedef struct
{
  QgStr *name;
  guint64 weight;
  QgHashes keys;       /**< SHA-256 of the bearer keys */
  guint64 queue_limit; /**< requests that may wait in one entry */
} QgDocWorkspace;

/** [grant WORKSPACE] */
typedef struct
{
  QgStr *workspace;
  QgNames services;
} QgDocGrant;

/** One section: its text and what was read from it; immutable. */
typedef struct
{
  int refs;
  QgDocKind kind;
  QgStr *id;   /**< "workspace drape-hall", without brackets */
  QgStr *text; /**< from its leading comments to its last line */
  union
  {
    QgStr *name; /**< first member of each record */
    QgDocDc dc;
    QgDocService service;
    QgDocTarget target;
    QgDocWorkspace workspace;
    QgDocGrant grant;
  };
} QgDocSection;

typedef struct _QgDoc QgDoc;

/** The change of one section. */
typedef struct
{
  QgStr *id;
  QgStr *text; /**< NULL: the section is removed */
} QgDeltaItem;

/** The changes from one revision to another; from 0 it is a whole document.
 * Immutable and reference counted. */
typedef struct
{
  int refs;
  guint64 from;
  guint64 to;
  GArray *items; /**< of QgDeltaItem, sorted by id */
} QgDelta;

/* -- documents ---------------------------------------------------------- */

/** The empty document, revision 0. */
QgDoc *qg_doc_new (void);

/**
 * Reads a whole document and checks it; its revision is @a revision.
 *
 * @param problems gets every problem.
 * @return a document with one reference, or NULL when there is a problem.
 */
QgDoc *qg_doc_parse (const char *text, gsize len, guint64 revision,
                     QgProblems *problems);

QgDoc *qg_doc_ref (QgDoc *doc);
void qg_doc_unref (QgDoc *doc);
guint64 qg_doc_revision (const QgDoc *doc);

/** The document as one text that qg_doc_parse() reads; freed by the caller.
 */
char *qg_doc_format (const QgDoc *doc, gsize *len);

/* -- look-ups, all in constant time ------------------------------------- */

const QgDocWorkspace *qg_doc_workspace (const QgDoc *doc, const char *name);
/** The workspace that owns the bearer key with this SHA-256, or NULL. */
const QgDocWorkspace *
qg_doc_workspace_by_key (const QgDoc *doc,
                         const guint8 sha256[QG_SHA256_BYTES]);
const QgDocDc *qg_doc_dc (const QgDoc *doc, const char *name);
const QgDocService *qg_doc_service (const QgDoc *doc, const char *name);
const QgDocTarget *qg_doc_target (const QgDoc *doc, const char *name);
/** Whether @a workspace may use @a service. */
gboolean qg_doc_granted (const QgDoc *doc, const char *workspace,
                         const char *service);
/** Whether a request of @a method to @a service may run at most once. */
gboolean qg_doc_service_is_once (const QgDocService *service,
                                 const char *method);

/** A section by its id ("dc perth-a"), or NULL. */
const QgDocSection *qg_doc_section (const QgDoc *doc, const char *id);
guint qg_doc_count (const QgDoc *doc, QgDocKind kind);

typedef void (*QgDocVisit) (const QgDocSection *section, gpointer user);
/** Calls @a visit for each section of @a kind, sorted by name. */
void qg_doc_foreach (const QgDoc *doc, QgDocKind kind, QgDocVisit visit,
                     gpointer user);

/** The team (QG_TEAM_* of settings.h) that owns sections of @a kind. */
guint qg_doc_team (QgDocKind kind);
/** The name of a team ("workspaces"). */
const char *qg_doc_team_name (guint team);
/** The kind of a section id, or QG_N_DOC_KINDS when it is no id. */
QgDocKind qg_doc_kind_of (const char *id);
/** The kinds and keys as mdoc text; freed by the caller. */
char *qg_doc_manual (void);

/* -- changes ------------------------------------------------------------ */

/** What changed from @a from to @a to; from NULL: @a to as a whole. */
QgDelta *qg_doc_diff (const QgDoc *from, const QgDoc *to);

/**
 * The document after @a delta, which must start at the document's revision or
 * be whole and newer. Only changed sections are read; the result is checked
 * as a whole. Removing a section that is not there changes nothing.
 *
 * @return a new document, or NULL with the reasons in @a problems.
 */
QgDoc *qg_doc_apply_delta (const QgDoc *doc, const QgDelta *delta,
                           QgProblems *problems);

/**
 * As qg_doc_apply_delta(), but takes the caller's reference on @a doc when it
 * succeeds, and then costs what the delta touches: a document that no one else
 * holds is changed in place. Records looked up in @a doc before are not valid
 * after.
 *
 * @return the new document; NULL with problems, and @a doc as it was.
 */
QgDoc *qg_doc_step (QgDoc *doc, const QgDelta *delta, QgProblems *problems);

/**
 * Reads some sections, each checked on its own only, as a delta that adds
 * them; NULL when there is a problem.
 */
QgDelta *qg_doc_parse_sections (const char *text, gsize len,
                                QgProblems *problems);

/** A delta under construction; qg_delta_done() sorts it and keeps the last
 * text of each section. */
QgDelta *qg_delta_new (guint64 from, guint64 to);
/** Adds the new text of a section; @a text NULL removes it. */
void qg_delta_add (QgDelta *delta, const char *id, const char *text, gsize len);
void qg_delta_done (QgDelta *delta);
QgDelta *qg_delta_ref (QgDelta *delta);
void qg_delta_unref (QgDelta *delta);
/** The delta of @a first followed by @a second (second->from must be
 * first->to), where later sections replace earlier ones. */
QgDelta *qg_delta_join (const QgDelta *first, const QgDelta *second);

/** @a text of a section with @a key set to @a value; the key's line is
 * replaced, or added at the end. A new name, owned by the caller. */
QgStr *qg_doc_text_set (const char *text, const char *key, const char *value);

/** The change as lines for people, '-' removed and '+' added; freed by the
 * caller. @a doc is the document before the change. */
char *qg_delta_format (const QgDoc *doc, const QgDelta *delta);

G_END_DECLS

#endif
