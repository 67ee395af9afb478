/**
 * @file libdoc.h
 * What the files of the document share.
 */
#ifndef QG_LIBDOC_H
#define QG_LIBDOC_H

#include "doc.h"

struct _QgDoc
{
  int refs;
  guint64 revision;
  GHashTable *sections[QG_N_DOC_KINDS]; /* name -> QgDocSection, owned */
  GHashTable *keys;                     /* 32 bytes -> QgDocSection, borrowed */
};

extern const QgGroupRow qg_doc_groups[QG_N_DOC_KINDS];

/* doc_section.c */
QgDocSection *qg_doc_section_parse (const char *text, gsize len, guint line,
                                    QgProblems *problems);
QgDocSection *qg_doc_section_ref (QgDocSection *section);
void qg_doc_section_unref (QgDocSection *section);
/** The NAME of a section id. */
const char *qg_doc_name_of (const char *id);

/* doc.c */
/** Puts @a section in (takes the reference); replaces one of the same id. */
void qg_doc_insert (QgDoc *doc, QgDocSection *section);
/** A document with the same sections. */
QgDoc *qg_doc_copy (const QgDoc *doc);
/** The sections of @a kind sorted by name; borrowed, freed by the caller. */
GPtrArray *qg_doc_sorted (const QgDoc *doc, QgDocKind kind);

/* doc_delta.c */
/** The document with @a delta's sections and revision, in any direction. */
QgDoc *qg_doc_apply_items (const QgDoc *doc, const QgDelta *delta,
                           QgProblems *problems);

/** The section of an item that has a text, or NULL with a problem. */
QgDocSection *qg_doc_item_parse (const QgDeltaItem *item, QgProblems *problems);
/** FALSE with a problem when @a delta does not follow @a doc. */
gboolean qg_delta_fits (const QgDoc *doc, const QgDelta *delta,
                        QgProblems *problems);

/* doc_validate.c */
/** Checks what sections say of each other and fills the key index. */
void qg_doc_validate (QgDoc *doc, QgProblems *problems);

#endif
