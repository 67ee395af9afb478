/**
 * @file heap.h
 * Binary min-heap with intrusive nodes: a node stores its position, so that a
 * key can be changed in O(log n).
 */
#ifndef QG_HEAP_H
#define QG_HEAP_H

#include "qg.h"

G_BEGIN_DECLS

/** Node, embedded in the caller's structure; zeroed memory is a node outside
 * any heap. */
typedef struct
{
  gint64 key;
  guint place; /**< position in the heap plus one; 0 = outside */
} QgHeapNode;

/** A heap; zeroed memory is an empty heap. */
typedef struct
{
  QgHeapNode **nodes;
  guint len;
  guint size; /**< allocated length of nodes */
} QgHeap;

/** Inserts @a node with @a key, or changes the key of a node in the heap. */
void qg_heap_put (QgHeap *heap, QgHeapNode *node, gint64 key);

/** Removes @a node; does nothing if @a node is not in the heap. */
void qg_heap_remove (QgHeap *heap, QgHeapNode *node);

/** The node with the lowest key, or NULL if the heap is empty. */
QgHeapNode *qg_heap_top (const QgHeap *heap);

/** Empties @a heap and frees its array, but not the nodes. */
void qg_heap_clear (QgHeap *heap);

/** The structure that contains @a node. @a type is the type of the structure;
 * @a member is the name of its member that is the node. */
#define QG_HEAP_OWNER(node, type, member)                                      \
  ((type *)(void *)((char *)(node)-offsetof (type, member)))

G_END_DECLS

#endif
