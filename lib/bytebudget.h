/**
 * @file bytebudget.h
 * The bytes of requests and answers that one process may hold, a part of its
 * memory. A request whose body does not fit is refused before it is read, so
 * that the process is not ended for its memory under all of its requests. Large
 * bodies leave a part of the budget to small ones.
 */
#ifndef QG_BYTEBUDGET_H
#define QG_BYTEBUDGET_H

#include "qg.h"

G_BEGIN_DECLS

enum
{
  /** Part of the memory that the bytes may take, in percent; the rest is for
   * tables, peers and the allocator. */
  QG_BYTEBUDGET_MEMORY_PERCENT = 50,
  /** Part of the memory for bytes that wait in the kernel's buffers of a
   * listener's connections, in percent. */
  QG_BYTEBUDGET_KERNEL_PERCENT = 20,
  /** Part of the budget that large items may take, in percent. */
  QG_BYTEBUDGET_LARGE_PERCENT = 75,
  /** Size from which an item is large. */
  QG_BYTEBUDGET_LARGE_BYTES = 64 * 1024,
};

typedef struct
{
  gsize limit;    /**< bytes; 0: none */
  gsize kernel;   /**< bytes for the kernel's buffers */
  gsize held;     /**< bytes of bodies and incomplete events */
  gsize buffered; /**< bytes in the buffers of connections */
} QgByteBudget;

/** The memory of a process, in bytes: @a setting_mb MiB, but not more than
 * @a machine bytes; 0: not known. */
gsize qg_bytebudget_memory (guint64 setting_mb, gsize machine);
/** The memory of this machine, in bytes; 0: not known. */
gsize qg_bytebudget_machine_memory (void);

/** Sets the budget of a process with @a memory bytes. */
void qg_bytebudget_init (QgByteBudget *budget, gsize memory);

/**
 * Changes what one item holds from @a before to @a after bytes.
 *
 * @return FALSE, with nothing changed, if it grows and does not fit.
 */
gboolean qg_bytebudget_resize (QgByteBudget *budget, gsize before, gsize after);

/** The same for an item that may use all of the budget, whatever its size. */
gboolean qg_bytebudget_resize_small (QgByteBudget *budget, gsize before,
                                     gsize after);

/** Whether the budget is used up, so that less should be read ahead. */
gboolean qg_bytebudget_is_short (const QgByteBudget *budget);

G_END_DECLS

#endif
