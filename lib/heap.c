#include "heap.h"

static void sift_up (QgHeap *heap, guint index);
static void sift_down (QgHeap *heap, guint index);
static void place (QgHeap *heap, guint index, QgHeapNode *node);

void
qg_heap_put (QgHeap *heap, QgHeapNode *node, gint64 key)
{
  guint index;

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
  index = node->place - 1;
  if (key < node->key)
    {
      node->key = key;
      sift_up (heap, index);
    }
  else if (key > node->key)
    {
      node->key = key;
      sift_down (heap, index);
    }
}

void
qg_heap_remove (QgHeap *heap, QgHeapNode *node)
{
  guint index = node->place;
  QgHeapNode *last;

  if (index == 0)
    return;
  index--;
  node->place = 0;
  last = heap->nodes[--heap->len];
  if (last == node)
    return;
  place (heap, index, last);
  sift_up (heap, index);
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
sift_up (QgHeap *heap, guint index)
{
  QgHeapNode *node = heap->nodes[index];

  while (index > 0 && heap->nodes[(index - 1) / 2]->key > node->key)
    {
      place (heap, index, heap->nodes[(index - 1) / 2]);
      index = (index - 1) / 2;
    }
  place (heap, index, node);
}

static void
sift_down (QgHeap *heap, guint index)
{
  QgHeapNode *node = heap->nodes[index];

  for (guint child = 2 * index + 1; child < heap->len; child = 2 * index + 1)
    {
      if (child + 1 < heap->len
          && heap->nodes[child + 1]->key < heap->nodes[child]->key)
        child++;
      if (heap->nodes[child]->key >= node->key)
        break;
      place (heap, index, heap->nodes[child]);
      index = child;
    }
  place (heap, index, node);
}

static void
place (QgHeap *heap, guint index, QgHeapNode *node)
{
  heap->nodes[index] = node;
  node->place = index + 1;
}
