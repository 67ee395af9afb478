/**
 * @file libdoc.h
 * Internal declarations of the configuration document (doc*.c).
 */
#ifndef QG_LIBDOC_H
#define QG_LIBDOC_H

#include "doc.h"

struct _QgDoc
{
  int refs;
  guint64 revision;
  GHashTable *sections[QG_N_DOC_KINDS]; /* name -> QgDocSection, owned */
  GHashTable *keys; /* SHA-256 (32 bytes) -> QgDocSection, borrowed */
};

extern const QgGroupRow qg_doc_groups[QG_N_DOC_KINDS];

/* doc_section.c */
/** Parses the text of one section, whose first line has number @a line; NULL
 * with a problem when the text is not valid. */
QgDocSection *qg_doc_section_parse (const char *text, gsize len, guint line,
                                    QgProblems *problems);
QgDocSection *qg_doc_section_ref (QgDocSection *section);
void qg_doc_section_unref (QgDocSection *section);
/** The NAME part of a section id. */
const char *qg_doc_name_of (const char *id);

/* doc.c */
/** Inserts @a section, taking over the reference; replaces a section of the
 * same id. */
void qg_doc_insert (QgDoc *doc, QgDocSection *section);
/** A new document that shares all sections of @a doc. */
QgDoc *qg_doc_copy (const QgDoc *doc);
/** The sections of @a kind sorted by name; the caller frees the array, which
 * borrows the sections. */
GPtrArray *qg_doc_sorted (const QgDoc *doc, QgDocKind kind);

/* doc_delta.c */
/** As qg_doc_apply_delta(), without checking the revisions, so that @a delta
 * may lead back to an older revision. */
QgDoc *qg_doc_apply_items (const QgDoc *doc, const QgDelta *delta,
                           QgProblems *problems);

/** Parses the text of @a item; the text must not be NULL. Returns NULL with a
 * problem when the text is not valid, or when the header in the text does not
 * match the id of @a item. */
QgDocSection *qg_doc_item_parse (const QgDeltaItem *item, QgProblems *problems);
/** An empty array of QgDeltaItem. */
GArray *qg_delta_items_new (void);
/** Appends a copy of @a item. */
void qg_delta_add_item (QgDelta *delta, const QgDeltaItem *item);
/** FALSE with a problem when @a delta neither starts at the revision of @a doc
 * nor is a whole document, or when @a delta is not newer than @a doc. */
gboolean qg_delta_check_base (const QgDoc *doc, const QgDelta *delta,
                              QgProblems *problems);

/* doc_validate.c */
/** Checks the references between sections and rebuilds the index of bearer
 * keys. */
void qg_doc_validate (QgDoc *doc, QgProblems *problems);

#endif
