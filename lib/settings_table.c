#include "libsettings.h"

#include <stddef.h>

static const char *const role_words[]
    = { "entry", "agent", "control", "relay", NULL };
static const char *const team_words[]
    = { "workspaces", "dcs", "services", NULL };
static const char *const level_words[]
    = { "debug", "info", "notice", "warning", "error", NULL };
static const char *const format_words[] = { "text", "json", NULL };
static const char *const cut_off_words[] = { "refuse", "serve", NULL };

static const char *const policy_words[] = { "fair", "baseline", NULL };

#define DAEMON(field)   offsetof (QgSettingsDaemon, field)
#define ENTRY(field)    offsetof (QgSettingsEntry, field)
#define AGENT(field)    offsetof (QgSettingsAgent, field)
#define RELAY(field)    offsetof (QgSettingsRelay, field)
#define CONTROL(field)  offsetof (QgSettingsControl, field)
#define OPERATOR(field) offsetof (QgSettingsOperator, field)

#define MIB                (G_GUINT64_CONSTANT (1) << 20)
#define DAY_MS             G_GUINT64_CONSTANT (86400000)
#define MAX_SLOTS          G_GUINT64_CONSTANT (4096)
#define MAX_QUEUE          G_GUINT64_CONSTANT (1000000)
#define NO_RANGE           0, 0, NULL
#define WORDS_OF(words)    0, 0, words
#define RANGE(first, last) first, last, NULL

static const QgKeyRow daemon_keys[] = {
  { "name", QG_VALUE_NAME, DAEMON (name), NO_RANGE, NULL,
    "Name of this daemon, unique in the fleet." },
  { "roles", QG_VALUE_FLAGS, DAEMON (roles), WORDS_OF (role_words), NULL,
    "Roles of this process." },
  { "dc", QG_VALUE_NAME, DAEMON (dc), NO_RANGE, NULL,
    "Data centre of this process." },
  { "region", QG_VALUE_NAME, DAEMON (region), NO_RANGE, NULL,
    "Region of the data centre." },
  { "fleet_key_file", QG_VALUE_TEXT, DAEMON (fleet_key_file), NO_RANGE, "",
    "File with the key that all daemons of the fleet share; needed as soon as "
    "there are peers." },
  { "log_level", QG_VALUE_ENUM, DAEMON (log_level), WORDS_OF (level_words),
    "info", "Lowest severity that is logged." },
  { "log_format", QG_VALUE_ENUM, DAEMON (log_format), WORDS_OF (format_words),
    "text", "Format of log lines." },
  { "admin_listen", QG_VALUE_ADDRESS, DAEMON (admin_listen), NO_RANGE, "",
    "Where /metrics, /healthz and /status are served; empty: nowhere." },
  { "trace_file", QG_VALUE_TEXT, DAEMON (trace_file), NO_RANGE, "",
    "File for spans as OTLP/JSON lines; empty: no traces." },
  { "cut_off", QG_VALUE_ENUM, DAEMON (cut_off), WORDS_OF (cut_off_words),
    "refuse",
    "Whether this daemon refuses or serves new work while it cannot renew "
    "its lease." },
  { "policy", QG_VALUE_ENUM, DAEMON (policy), WORDS_OF (policy_words), "fair",
    "How work reaches targets. baseline pushes each request to the agent "
    "with the fewest requests, first come first served and without limits; "
    "it serves for comparison in measurements." },
  { "memory_mb", QG_VALUE_UINT, DAEMON (memory_mb), RANGE (16, 1048576), "4096",
    "Memory in MiB that this process may use, at most what the machine has; "
    "half of it is for requests to "
    "its HTTP listeners, other than those of a relay's callers, which have "
    "their own limit, and a fifth for the receive buffers of the "
    "connections of each; what does not fit loses its connection." },
};

static const QgKeyRow entry_keys[] = {
  { "listen", QG_VALUE_ADDRESS, ENTRY (listen), NO_RANGE, NULL,
    "Where callers connect by HTTP." },
  { "peer_listen", QG_VALUE_ADDRESS, ENTRY (peer_listen), NO_RANGE, "",
    "Where agents connect; empty: only agents of this process." },
  { "peer_address", QG_VALUE_ADDRESS, ENTRY (peer_address), NO_RANGE, "",
    "Address at which agents reach peer_listen if that address differs "
    "from peer_listen, as behind address translation." },
  { "queue_limit", QG_VALUE_UINT, ENTRY (queue_limit), RANGE (1, MAX_QUEUE),
    "20000", "Requests that may wait in this entry." },
  { "max_body_bytes", QG_VALUE_UINT, ENTRY (max_body_bytes),
    RANGE (1024, 64 * MIB), "4194304", "Largest body of a request." },
  { "default_deadline_ms", QG_VALUE_UINT, ENTRY (default_deadline_ms),
    RANGE (1, DAY_MS), "300000",
    "Deadline of requests that state no deadline and whose service has "
    "none." },
  { "max_connections", QG_VALUE_UINT, ENTRY (max_connections), RANGE (1, 65000),
    "10000", "Maximum number of caller connections at a time." },
  { "drain_ms", QG_VALUE_UINT, ENTRY (drain_ms), RANGE (0, DAY_MS), "600000",
    "How long a graceful shutdown waits for running requests." },
};

static const QgKeyRow agent_keys[] = {
  { "service", QG_VALUE_NAME, AGENT (service), NO_RANGE, NULL,
    "Service that the target runs." },
  { "target", QG_VALUE_ADDRESS, AGENT (target), NO_RANGE, NULL,
    "Where the target listens by HTTP." },
  { "slots", QG_VALUE_UINT, AGENT (slots), RANGE (0, MAX_SLOTS), "0",
    "Requests the warm target runs at once; 0: the slots of the service." },
  { "cold_slots", QG_VALUE_UINT, AGENT (cold_slots), RANGE (0, MAX_SLOTS), "0",
    "Requests the cold target runs at once; 0: the cold_slots of the "
    "service." },
  { "hold_ms", QG_VALUE_UINT, AGENT (hold_ms), RANGE (0, DAY_MS), "600000",
    "How long finished answers are held for a resend." },
  { "hold_bytes", QG_VALUE_UINT, AGENT (hold_bytes), RANGE (0, 4096 * MIB),
    "33554432", "Memory for finished answers; the oldest are dropped first." },
  { "order_path", QG_VALUE_TEXT, AGENT (order_path), NO_RANGE, "",
    "Path at which the target accepts orders (drain, version) by POST, such as "
    "/order; empty: it accepts none." },
  { "fenced", QG_VALUE_BOOL, AGENT (fenced), NO_RANGE, "no",
    "Whether the target itself refuses orders with an old fencing number." },
};

static const QgKeyRow control_keys[] = {
  { "peer_listen", QG_VALUE_ADDRESS, CONTROL (peer_listen), NO_RANGE, "",
    "Where daemons connect; empty: only this process." },
  { "peer_address", QG_VALUE_ADDRESS, CONTROL (peer_address), NO_RANGE, "",
    "Address at which daemons reach peer_listen if that address differs "
    "from peer_listen, as behind address translation." },
  { "operator_listen", QG_VALUE_ADDRESS, CONTROL (operator_listen), NO_RANGE,
    "", "Where operators connect by HTTP; empty: nowhere." },
  { "data_folder", QG_VALUE_TEXT, CONTROL (data_folder), NO_RANGE, NULL,
    "Folder of the replicated state." },
  { "document", QG_VALUE_TEXT, CONTROL (document), NO_RANGE, "",
    "First configuration document; used only by the bootstrap member while "
    "its log is empty." },
  { "bootstrap", QG_VALUE_BOOL, CONTROL (bootstrap), NO_RANGE, "no",
    "Whether this member may begin the fleet if its log is empty and it is "
    "among the control members that peers lists." },
  { "public_listen", QG_VALUE_ADDRESS, CONTROL (public_listen), NO_RANGE, "",
    "Where targets register and operators send manifests; empty: nowhere." },
  { "tolerate", QG_VALUE_UINT, CONTROL (tolerate), RANGE (0, 4), "0",
    "Number of members that may be lost at once; if above 0, new control "
    "processes join automatically, and an unreachable member is removed while "
    "there are more than 2 * tolerate + 1 members; if 0, operators add and "
    "remove members." },
  { "beat_ms", QG_VALUE_UINT, CONTROL (beat_ms), RANGE (10, 60000), "1000",
    "Usual time between two heartbeats of a target." },
  { "canary_share", QG_VALUE_REAL, CONTROL (canary_share), NO_RANGE, "0",
    "Share of the requests to a service that a bad version of its targets' "
    "software may get during a rollout, above 0 and at most 0.5; 0: rollouts "
    "are refused." },
  { "canary_tolerance", QG_VALUE_UINT, CONTROL (canary_tolerance),
    RANGE (0, 1000000), "0",
    "Requests that a bad version may get during a rollout besides "
    "canary_share." },
};

static const QgKeyRow relay_keys[] = {
  { "listen", QG_VALUE_ADDRESS, RELAY (listen), NO_RANGE, NULL,
    "Where callers connect by HTTP." },
  { "ready_listen", QG_VALUE_ADDRESS, RELAY (ready_listen), NO_RANGE, "",
    "Where a balancer checks whether to send callers here; empty: nowhere." },
  { "peer_listen", QG_VALUE_ADDRESS, RELAY (peer_listen), NO_RANGE, "",
    "Where the other relays connect to report their load at targets; empty: "
    "nowhere." },
  { "peer_address", QG_VALUE_ADDRESS, RELAY (peer_address), NO_RANGE, "",
    "Address at which the other relays reach peer_listen if that address "
    "differs from peer_listen, as behind address translation." },
  { "dc_regions", QG_VALUE_TEXT, RELAY (dc_regions), NO_RANGE, "",
    "Regions of the data centres: dc:region,dc:region; an unknown data centre "
    "is a region of its own." },
  { "retry_ratio", QG_VALUE_REAL, RELAY (retry_ratio), NO_RANGE, "0.2",
    "Requests that the fleet may resend to another target, as a fraction of "
    "the requests of the service." },
  { "retry_window_s", QG_VALUE_REAL, RELAY (retry_window_s), NO_RANGE, "10",
    "Window in seconds to which retry_ratio and retry_extra apply." },
  { "retry_extra", QG_VALUE_UINT, RELAY (retry_extra), RANGE (0, 100000), "10",
    "Resends that the fleet may make in the window in addition to "
    "retry_ratio, divided by the number of relays; a relay that has started "
    "makes none of them until the window has passed." },
  { "key_lease_ms", QG_VALUE_UINT, RELAY (key_lease_ms), RANGE (500, 3600000),
    "5000",
    "Time within which a revoked key stops working, even while this "
    "process is cut off from control." },
  { "grace_s", QG_VALUE_REAL, RELAY (grace_s), NO_RANGE, "30",
    "Longest time in seconds from SIGTERM to the end of the process." },
  { "max_files", QG_VALUE_UINT, RELAY (max_files), RANGE (64, 10000000), "4096",
    "File descriptors that this process may open, half of them for callers; "
    "when callers use more, the caller connections that have been idle "
    "longest are closed." },
  { "memory_mb", QG_VALUE_UINT, RELAY (memory_mb), RANGE (16, 1048576), "512",
    "Memory in MiB that this process may use, at most what the machine has; "
    "bodies, answers and events take "
    "half of it at most, and requests whose bodies do not fit are refused as "
    "not run; the receive buffers of callers' connections and those of "
    "targets' connections share a fifth each." },
};

static const QgKeyRow peers_keys[] = {
  { "control", QG_VALUE_MEMBER_LIST, offsetof (QgSettingsPeers, control),
    NO_RANGE, "", "The control members." },
  { "seeds", QG_VALUE_TEXT, offsetof (QgSettingsPeers, seeds), NO_RANGE, "",
    "Some control members as ip:port,ip:port, if members are named by "
    "their IP address; this process learns the other members from these." },
  { "seed_port", QG_VALUE_UINT, offsetof (QgSettingsPeers, seed_port),
    RANGE (1, 65535), "7400",
    "Peer port of the seeds; replaces the ports given in seeds." },
};

static const QgKeyRow operator_keys[] = {
  { "key_sha256", QG_VALUE_SHA256, OPERATOR (key_sha256), NO_RANGE, NULL,
    "SHA-256 of the operator's bearer token." },
  { "teams", QG_VALUE_FLAGS, OPERATOR (teams), WORDS_OF (team_words), NULL,
    "Teams of the operator, who may change the document sections of these "
    "teams." },
};

#define KEYS(keys) keys, G_N_ELEMENTS (keys)

const QgGroupRow qg_setting_groups[QG_N_GROUPS] = {
  [QG_GROUP_DAEMON]
  = { "daemon", FALSE, "The process as a whole.", KEYS (daemon_keys) },
  [QG_GROUP_ENTRY]
  = { "entry", FALSE, "The entry role: callers.", KEYS (entry_keys) },
  [QG_GROUP_AGENT]
  = { "agent", TRUE, "One target of the agent role; may be repeated.",
      KEYS (agent_keys) },
  [QG_GROUP_CONTROL]
  = { "control", FALSE, "The control role.", KEYS (control_keys) },
  [QG_GROUP_RELAY]
  = { "relay", FALSE,
      "The relay role: sends callers' requests to targets that register.",
      KEYS (relay_keys) },
  [QG_GROUP_PEERS]
  = { "peers", FALSE, "Where the control members are.", KEYS (peers_keys) },
  [QG_GROUP_OPERATOR]
  = { "operator", TRUE, "One operator, read by control; may be repeated.",
      KEYS (operator_keys) },
};

char *
qg_settings_manual (void)
{
  GString *out = g_string_new (NULL);

  for (int i = 0; i < QG_N_GROUPS; i++)
    qg_group_manual (&qg_setting_groups[i], out);
  return g_string_free (out, FALSE);
}
