/* The level of the shares while no workspace asks for anything. */
#include "lib/share.h"

int
main (void)
{
  return qg_share_level (NULL, 0, 5) == G_MAXDOUBLE ? 0 : 1;
}
