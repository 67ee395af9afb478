/**
 * @file heap.h
 * Binary min-heap of nodes that are embedded in their owners, so that a key
 * changes in O(log n) and a node knows whether it is in the heap.
 */
#ifndef QG_HEAP_H
#define QG_HEAP_H

#include "qg.h"

G_BEGIN_DECLS

/** Embedded in the owner; zeroed memory is a node outside every heap. */
typedef struct
{
  gint64 key;
  guint place; /**< position in the heap plus one; 0 = outside */
} QgHeapNode;

/** The heap; zeroed memory is an empty heap. */
typedef struct
{
  QgHeapNode **nodes;
  guint len;
  guint size;
} QgHeap;

/** Inserts @a node with @a key, or moves it when it is inside already. */
void qg_heap_put (QgHeap *heap, QgHeapNode *node, gint64 key);

/** Takes @a node out; no-op when it is outside. */
void qg_heap_remove (QgHeap *heap, QgHeapNode *node);

/** The node of the least key, or NULL. */
QgHeapNode *qg_heap_top (const QgHeap *heap);

/** Frees the array of @a heap; the nodes belong to their owners. */
void qg_heap_clear (QgHeap *heap);

/** The structure of @a type whose member @a member is @a node. */
#define QG_HEAP_OWNER(node, type, member)                                      \
  ((type *)(void *)((char *)(node)-offsetof (type, member)))

G_END_DECLS

#endif
