/**
 * @file settings.h
 * The settings of a daemon, parsed from INI text. A table defines every key
 * with its type, range, default and help text. Unknown groups and keys are
 * errors. All problems of a file are reported, each with its line, key, the
 * allowed values and what to do.
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
  QG_ROLE_RELAY = 1 << 3 /**< an entry that connects to targets itself */
};

/** Teams of an operator as bits; each team owns some kinds of document
 * sections. */
enum
{
  QG_TEAM_WORKSPACES = 1 << 0, /**< workspace, grant */
  QG_TEAM_DCS = 1 << 1,        /**< dc */
  QG_TEAM_SERVICES = 1 << 2    /**< service, target */
};

/** What a daemon does with new requests while it holds no valid lease. */
typedef enum
{
  QG_CUT_OFF_REFUSE, /**< refuses them and reports that they did not run */
  QG_CUT_OFF_SERVE   /**< serves idempotent ones with its own targets */
} QgCutOff;

/** How requests reach targets. */
typedef enum
{
  QG_POLICY_FAIR,    /**< agents pull requests by fair share */
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
  guint64 log_level;     /**< QgSeverity, the lowest that is logged */
  guint64 log_format;    /**< QgLogFormat */
  QgStr *admin_listen;   /**< empty: no admin server */
  QgStr *trace_file;     /**< empty: no traces */
  guint64 cut_off;       /**< QgCutOff */
  guint64 policy;        /**< QgPolicy */
  guint64 memory_mb;     /**< memory that the process may use */
} QgSettingsDaemon;

/** [entry] */
typedef struct
{
  QgStr *listen;
  QgStr *peer_listen;
  QgStr *peer_address; /**< address that agents use; empty: peer_listen */
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
  guint64 hold_ms;    /**< how long finished answers are held for a resend */
  guint64 hold_bytes; /**< memory for held answers; the oldest are dropped
                          first */
  QgStr *order_path;  /**< where the target accepts orders; empty: nowhere */
  gboolean fenced;    /**< the target refuses outdated fencing numbers */
} QgSettingsAgent;

/** [control] */
typedef struct
{
  QgStr *peer_listen;
  QgStr *peer_address; /**< address that daemons use; empty: peer_listen */
  QgStr *operator_listen;
  QgStr *data_folder;
  QgStr *document; /**< empty: starts with an empty document */
  gboolean bootstrap;
  QgStr *public_listen; /**< where targets register and manifests arrive;
                           empty: nowhere */
  guint64 tolerate;     /**< members that may fail at the same time; 0:
                             operators manage the membership */
  guint64 beat_ms;      /**< expected interval of the heartbeats of a target */
  double canary_share;  /**< share of its service's requests that a bad version
                             may get; 0: no rollouts */
  guint64 canary_tolerance; /**< requests that it may get besides */
} QgSettingsControl;

/** [relay] */
typedef struct
{
  QgStr *listen;
  QgStr *ready_listen;
  QgStr *peer_listen;    /**< where other relays connect; empty: nowhere */
  QgStr *peer_address;   /**< address that they use; empty: peer_listen */
  QgStr *dc_regions;     /**< "dc:region,dc:region" */
  double retry_ratio;    /**< retries per request of a service */
  double retry_window_s; /**< window over which retries are counted */
  guint64 retry_extra;   /**< retries in the window beyond retry_ratio */
  guint64 key_lease_ms;  /**< time within which a withdrawn key stops working */
  double grace_s;        /**< time from SIGTERM to SIGKILL */
  guint64 max_files;     /**< file descriptors that the process may open */
  guint64 memory_mb;     /**< memory that the process may use */
} QgSettingsRelay;

/** A control member, from [peers]. */
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

/** All settings of a daemon; immutable after parsing and reference counted. */
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
 * Parses settings from @a text.
 *
 * @param problems receives every problem found; initialised by the caller.
 * @return the settings with one reference, or NULL when there is a problem.
 */
QgSettings *qg_settings_parse (const char *text, gsize len,
                               QgProblems *problems);

/** The INI text of the standalone settings: the entry, agent and control roles
 * on 127.0.0.1. */
const char *qg_settings_standalone_text (void);

/** The standalone settings, with one reference. */
QgSettings *qg_settings_standalone (void);

QgSettings *qg_settings_ref (QgSettings *settings);
void qg_settings_unref (QgSettings *settings);

/** Returns the operator whose bearer token has the SHA-256 @a sha256, or NULL.
 * Compares @a sha256 with the hash of every operator, each in constant time. */
const QgSettingsOperator *
qg_settings_operator (const QgSettings *settings,
                      const guint8 sha256[QG_SHA256_BYTES]);

/** Documentation of all groups and keys as mdoc text, for quetzalgate.conf(5);
 * a new string, freed by the caller. */
char *qg_settings_manual (void);

G_END_DECLS

#endif
