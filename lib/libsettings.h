/**
 * @file libsettings.h
 * Internal declarations of the settings: their table and the record of [peers].
 */
#ifndef QG_LIBSETTINGS_H
#define QG_LIBSETTINGS_H

#include "ini_table.h"
#include "settings.h"

/** Groups of settings; indexes of qg_setting_groups. */
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

/** [peers] as read from the file, before it is split into QgSettingsPeer. */
typedef struct
{
  QgNames control;   /**< items name@ip:port */
  QgStr *seeds;      /**< "ip:port,ip:port" */
  guint64 seed_port; /**< replaces the ports given in seeds */
} QgSettingsPeers;

extern const QgGroupRow qg_setting_groups[QG_N_GROUPS];

#endif
