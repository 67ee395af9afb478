/**
 * @file doc.h
 * The configuration document: an INI text in which each section belongs to a
 * team. A QgDoc is immutable and reference counted; a change makes a new
 * document that shares every unchanged section with the old one. The exception
 * is qg_doc_update(), which changes a document in place when the document has
 * no other owner.
 *
 * The order of sections and the blank lines between them have no meaning:
 * qg_doc_format() writes sections sorted by kind and name, so that equal
 * documents have equal bytes.
 */
#ifndef QG_DOC_H
#define QG_DOC_H

#include "ini_table.h"

G_BEGIN_DECLS

/** Kinds of sections, in the order in which qg_doc_format() writes them. */
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

/** Whether a data centre receives new requests. */
typedef enum
{
  QG_DC_IN,
  QG_DC_OUT
} QgDcState;

/** Type of a service; it determines the unit in which requests are counted. */
typedef enum
{
  QG_SERVICE_MODEL, /**< a model engine, counted in tokens */
  QG_SERVICE_PLAIN  /**< any other service, counted in slot milliseconds */
} QgServiceKind;

/** [service NAME] */
typedef struct
{
  QgStr *name;
  guint64 kind;          /**< QgServiceKind */
  QgNames once_methods;  /**< HTTP methods that run at most once */
  guint64 slots;         /**< concurrent requests of a warm target */
  guint64 cold_slots;    /**< concurrent requests of a cold target */
  guint64 cold_ms;       /**< how long a target stays cold after its start */
  guint64 deadline_ms;   /**< default deadline of a request */
  guint64 max_tokens;    /**< longest answer of a model, in tokens */
  guint64 retry_percent; /**< retries allowed per 100 requests */
} QgDocService;

/** [target NAME]; NAME is the name of the target's agent. */
typedef struct
{
  QgStr *name;
  gboolean drain; /**< gets no new requests */
  QgStr *version; /**< version that the target must load; empty: any */
} QgDocTarget;

/** [workspace NAME] */
typedef struct
{
  QgStr *name;
  guint64 weight;      /**< share of capacity, relative to other workspaces */
  QgHashes keys;       /**< SHA-256 of the bearer keys */
  guint64 queue_limit; /**< maximum number of requests queued in one entry */
} QgDocWorkspace;

/** [grant WORKSPACE] */
typedef struct
{
  QgStr *workspace;
  QgNames services;
} QgDocGrant;

/** A section: its text and the record parsed from it; immutable. */
typedef struct
{
  int refs;
  QgDocKind kind;
  QgStr *id;   /**< the header without brackets: "workspace drape-hall" */
  QgStr *text; /**< from the comments above the header to the last line */
  union
  {
    QgStr *name; /**< first member of every record below */
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

/** The changes from one revision to another; if @a from is 0, a whole document.
 * Immutable and reference counted. */
typedef struct
{
  int refs;
  guint64 from;
  guint64 to;
  GArray *items; /**< of QgDeltaItem, sorted by id */
} QgDelta;

/* -- documents ---------------------------------------------------------- */

/** An empty document at revision 0. */
QgDoc *qg_doc_new (void);

/**
 * Parses and checks a whole document and gives it the revision @a revision.
 *
 * @param problems receives every problem found.
 * @return a document with one reference, or NULL when there is a problem.
 */
QgDoc *qg_doc_parse (const char *text, gsize len, guint64 revision,
                     QgProblems *problems);

QgDoc *qg_doc_ref (QgDoc *doc);
void qg_doc_unref (QgDoc *doc);
guint64 qg_doc_revision (const QgDoc *doc);

/** The document as text for qg_doc_parse(); freed by the caller. */
char *qg_doc_format (const QgDoc *doc, gsize *len);

/* -- lookups ------------------------------------------------------------ */

/* Lookups by name, key or id take constant time and return NULL when there is
 * no such section. */

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
/** Whether requests of HTTP method @a method to @a service run at most once. */
gboolean qg_doc_service_at_most_once (const QgDocService *service,
                                      const char *method);

/** The section with the given id, such as "dc perth-a", or NULL. */
const QgDocSection *qg_doc_section (const QgDoc *doc, const char *id);
guint qg_doc_count (const QgDoc *doc, QgDocKind kind);

typedef void (*QgDocVisit) (const QgDocSection *section, gpointer user);
/** Calls @a visit for each section of @a kind, sorted by name. */
void qg_doc_foreach (const QgDoc *doc, QgDocKind kind, QgDocVisit visit,
                     gpointer user);

/** The team (QG_TEAM_* in settings.h) that owns sections of @a kind. */
guint qg_doc_team (QgDocKind kind);
/** The name of a team, such as "workspaces". */
const char *qg_doc_team_name (guint team);
/** The kind of a section id, or QG_N_DOC_KINDS when @a id is not valid. */
QgDocKind qg_doc_kind_of (const char *id);
/** Documentation of the kinds and their keys as mdoc text; freed by the
 * caller. */
char *qg_doc_manual (void);

/* -- changes ------------------------------------------------------------ */

/** The changes from @a from to @a to; the whole of @a to if @a from is NULL. */
QgDelta *qg_doc_diff (const QgDoc *from, const QgDoc *to);

/**
 * Applies @a delta, which must start at the revision of @a doc, or be a whole
 * document with a newer revision. Parses only the changed sections, but checks
 * the whole new document. Removing a section that does not exist has no effect.
 *
 * @return a new document, or NULL with the reasons in @a problems.
 */
QgDoc *qg_doc_apply_delta (const QgDoc *doc, const QgDelta *delta,
                           QgProblems *problems);

/**
 * As qg_doc_apply_delta(), but takes over the caller's reference to @a doc on
 * success. If @a delta is not a whole document, and @a doc has no other
 * references and a revision above 0, @a doc is changed in place at a cost in
 * proportion to what the delta changes. Otherwise, a new document is made.
 * Records looked up in @a doc before the call are invalid after the call.
 *
 * @return the new document, or NULL with the reasons in @a problems and @a doc
 *         unchanged.
 */
QgDoc *qg_doc_update (QgDoc *doc, const QgDelta *delta, QgProblems *problems);

/**
 * Parses sections into a delta that adds them. Checks each section on its own,
 * but not its references to other sections. Returns NULL when there is a
 * problem.
 */
QgDelta *qg_doc_parse_sections (const char *text, gsize len,
                                QgProblems *problems);

/** A new delta without items. Items may be added until qg_delta_finish(), which
 * sorts them and keeps only the last item of each section. */
QgDelta *qg_delta_new (guint64 from, guint64 to);
/** Adds the new text of a section; the delta removes the section if @a text is
 * NULL. */
void qg_delta_add (QgDelta *delta, const char *id, const char *text, gsize len);
void qg_delta_finish (QgDelta *delta);
QgDelta *qg_delta_ref (QgDelta *delta);
void qg_delta_unref (QgDelta *delta);
/** A delta that has the effect of @a first followed by @a second; second->from
 * must be first->to, or 0. */
QgDelta *qg_delta_join (const QgDelta *first, const QgDelta *second);

/** Sets @a key to @a value in the @a text of a section: replaces the line of
 * the key or appends a line. Returns a new string, owned by the caller. */
QgStr *qg_doc_text_set (const char *text, const char *key, const char *value);

/** The changed lines in human-readable form, marked '-' if removed and '+' if
 * added; freed by the caller. @a doc is the document before the change. */
char *qg_delta_format (const QgDoc *doc, const QgDelta *delta);

G_END_DECLS

#endif
