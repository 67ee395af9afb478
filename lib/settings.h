/**
 * @file settings.h
 * The settings of one daemon, read from INI text. A table holds every key with
 * its type, range, default and help; unknown groups and keys are refused and
 * every problem of a file is reported with line, key, range and remedy.
 */
#ifndef QG_SETTINGS_H
#define QG_SETTINGS_H

#include "ini.h"

G_BEGIN_DECLS

/** Bits of QgSettings.daemon.roles. */
enum
{
  QG_ROLE_ENTRY = 1 << 0,
  QG_ROLE_AGENT = 1 << 1,
  QG_ROLE_CONTROL = 1 << 2,
  QG_ROLE_RELAY = 1 << 3 /**< an entry that sends to targets itself */
};

/** Bits of the teams of an operator; each owns kinds of sections. */
enum
{
  QG_TEAM_WORKSPACES = 1 << 0, /**< workspace, grant */
  QG_TEAM_DCS = 1 << 1,        /**< dc */
  QG_TEAM_SERVICES = 1 << 2    /**< service, target */
};

/** What a daemon does with new work without a valid lease. */
typedef enum
{
  QG_CUT_OFF_REFUSE, /**< refuses it as not run */
  QG_CUT_OFF_SERVE   /**< goes on with its own targets, idempotent work only */
} QgCutOff;

/** How work reaches targets. */
typedef enum
{
  QG_POLICY_FAIR,    /**< agents pull by fair share */
  QG_POLICY_BASELINE /**< entries push to the agent with the fewest requests */
} QgPolicy;

typedef enum
{
  QG_LOG_TEXT,
  QG_LOG_JSON
} QgLogFormat;

/** [daemon] */
typedef struct
{
  QgStr *name;
  guint64 roles;
  QgStr *dc;
  QgStr *region;
  QgStr *fleet_key_file; /**< empty: no peers */
  guint64 log_level;     /**< QgSeverity */
  guint64 log_format;    /**< QgLogFormat */
  QgStr *admin_listen;   /**< empty: none */
  QgStr *trace_file;     /**< empty: off */
  guint64 cut_off;       /**< QgCutOff */
  guint64 policy;        /**< QgPolicy */
} QgSettingsDaemon;

/** [entry] */
typedef struct
{
  QgStr *listen;
  QgStr *peer_listen;
  QgStr *peer_address; /**< empty: as peer_listen */
  guint64 queue_limit;
  guint64 max_body_bytes;
  guint64 default_deadline_ms;
  guint64 max_connections;
  guint64 drain_ms;
} QgSettingsEntry;

/** [agent NAME] */
typedef struct
{
  QgStr *name;
  QgStr *service;
  QgStr *target;
  guint64 slots;
  guint64 cold_slots;
  guint64 hold_ms;
  guint64 hold_bytes;
  QgStr *order_path; /**< where the target takes orders, or empty */
  gboolean fenced;   /**< the target refuses orders with old numbers */
} QgSettingsAgent;

/** [control] */
typedef struct
{
  QgStr *peer_listen;
  QgStr *operator_listen;
  QgStr *data_folder;
  QgStr *document; /**< empty: starts with an empty document */
  gboolean bootstrap;
  QgStr *public_listen; /**< targets and operators of a manifest; or empty */
  guint64 tolerate;     /**< members lost at once that are borne; 0: operators
                             keep the membership */
  guint64 beat_ms;      /**< usual time between heartbeats of a target */
} QgSettingsControl;

/** [relay] */
typedef struct
{
  QgStr *listen;
  QgStr *ready_listen;
  QgStr *peer_listen; /**< other relays; empty: none */
  QgStr *dc_regions;  /**< "dc:region,dc:region" */
  double retry_ratio; /**< retries by request of a service */
  double retry_window_s;
  guint64 retry_extra;  /**< retries in the window beside these */
  guint64 key_lease_ms; /**< a withdrawn key stops within this time */
  double grace_s;       /**< from SIGTERM to SIGKILL */
  guint64 max_files;    /**< descriptors that this process may open */
} QgSettingsRelay;

/** One item of [peers] control. */
typedef struct
{
  QgStr *name;
  QgStr *address;
} QgSettingsPeer;

/** [operator NAME] */
typedef struct
{
  QgStr *name;
  guint8 key_sha256[QG_SHA256_BYTES];
  guint64 teams;
} QgSettingsOperator;

/** All settings of a daemon; immutable once parsed, reference counted. */
typedef struct
{
  QgSettingsDaemon daemon;
  QgSettingsEntry entry;
  QgSettingsControl control;
  QgSettingsRelay relay;
  QgSettingsAgent *agents;
  guint n_agents;
  QgSettingsPeer *peers; /**< the control members */
  guint n_peers;
  QgSettingsOperator *operators;
  guint n_operators;
  /*< private >*/
  int refs;
} QgSettings;

/**
 * Reads settings from @a text.
 *
 * @param problems gets every problem; initialised by the caller.
 * @return the settings with one reference, or NULL when there is a problem.
 */
QgSettings *qg_settings_parse (const char *text, gsize len,
                               QgProblems *problems);

/** The INI text of the standalone settings: all roles on 127.0.0.1. */
const char *qg_settings_standalone_text (void);

/** The standalone settings, with one reference. */
QgSettings *qg_settings_standalone (void);

QgSettings *qg_settings_ref (QgSettings *settings);
void qg_settings_unref (QgSettings *settings);

/** The operator whose bearer token hashes to @a sha256, or NULL; compares
 * every operator in constant time. */
const QgSettingsOperator *
qg_settings_operator (const QgSettings *settings,
                      const guint8 sha256[QG_SHA256_BYTES]);

/** The table of keys as mdoc list items, for quetzalgate.conf(5); a new string,
 * freed by the caller. */
char *qg_settings_manual (void);

G_END_DECLS

#endif
