/**
 * @file libsettings.h
 * The table of settings, apart from its reader.
 */
#ifndef QG_LIBSETTINGS_H
#define QG_LIBSETTINGS_H

#include "ini_table.h"
#include "settings.h"

/** Groups of the settings, in the order of the table. */
typedef enum
{
  QG_GROUP_DAEMON,
  QG_GROUP_ENTRY,
  QG_GROUP_AGENT,
  QG_GROUP_CONTROL,
  QG_GROUP_RELAY,
  QG_GROUP_PEERS,
  QG_GROUP_OPERATOR,
  QG_N_GROUPS
} QgGroup;

/** Where [peers] is read to, before its items are taken apart. */
typedef struct
{
  QgNames control;
  QgStr *seeds;      /**< "ip:port,ip:port" */
  guint64 seed_port; /**< takes the place of the ports of the seeds */
} QgSettingsPeers;

extern const QgGroupRow qg_setting_groups[QG_N_GROUPS];

#endif
