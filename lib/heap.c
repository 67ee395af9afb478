#include "heap.h"

static void sift_up (QgHeap *heap, guint at);
static void sift_down (QgHeap *heap, guint at);
static void place (QgHeap *heap, guint at, QgHeapNode *node);

void
qg_heap_put (QgHeap *heap, QgHeapNode *node, gint64 key)
{
  guint at;

  if (node->place == 0)
    {
      if (heap->len == heap->size)
        {
          heap->size = MAX (16, heap->size * 2);
          heap->nodes = g_renew (QgHeapNode *, heap->nodes, heap->size);
        }
      node->key = key;
      place (heap, heap->len++, node);
      sift_up (heap, heap->len - 1);
      return;
    }
  at = node->place - 1;
  if (key < node->key)
    {
      node->key = key;
      sift_up (heap, at);
    }
  else if (key > node->key)
    {
      node->key = key;
      sift_down (heap, at);
    }
}

void
qg_heap_remove (QgHeap *heap, QgHeapNode *node)
{
  guint at = node->place;
  QgHeapNode *last;

  if (at == 0)
    return;
  at--;
  node->place = 0;
  last = heap->nodes[--heap->len];
  if (last == node)
    return;
  place (heap, at, last);
  sift_up (heap, at);
  sift_down (heap, last->place - 1);
}

QgHeapNode *
qg_heap_top (const QgHeap *heap)
{
  return heap->len > 0 ? heap->nodes[0] : NULL;
}

void
qg_heap_clear (QgHeap *heap)
{
  g_free (heap->nodes);
  heap->nodes = NULL;
  heap->len = heap->size = 0;
}

static void
sift_up (QgHeap *heap, guint at)
{
  QgHeapNode *node = heap->nodes[at];

  while (at > 0 && heap->nodes[(at - 1) / 2]->key > node->key)
    {
      place (heap, at, heap->nodes[(at - 1) / 2]);
      at = (at - 1) / 2;
    }
  place (heap, at, node);
}

static void
sift_down (QgHeap *heap, guint at)
{
  QgHeapNode *node = heap->nodes[at];

  for (guint child = 2 * at + 1; child < heap->len; child = 2 * at + 1)
    {
      if (child + 1 < heap->len
          && heap->nodes[child + 1]->key < heap->nodes[child]->key)
        child++;
      if (heap->nodes[child]->key >= node->key)
        break;
      place (heap, at, heap->nodes[child]);
      at = child;
    }
  place (heap, at, node);
}

static void
place (QgHeap *heap, guint at, QgHeapNode *node)
{
  heap->nodes[at] = node;
  node->place = at + 1;
}
