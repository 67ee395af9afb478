/**
 * @file cli.h
 * Shared by the commands of the operators' tool: options, calls to the control
 * members, and output.
 */
#ifndef QG_CLI_H
#define QG_CLI_H

#include "lib/doc.h"

#include <json-glib/json-glib.h>

G_BEGIN_DECLS

/** Command-line options; each command accepts some of them. */
typedef enum
{
  QG_OPT_CONTROL,
  QG_OPT_KEY_FILE,
  QG_OPT_JSON,
  QG_OPT_HELP,
  QG_OPT_TIMEOUT,
  QG_OPT_BASE,
  QG_OPT_PARTIAL,
  QG_OPT_REMOVE,
  QG_OPT_CHANGE_ID,
  QG_OPT_DRY_RUN,
  QG_OPT_WAIT,
  QG_OPT_REVISION,
  QG_OPT_OUTPUT,
  QG_OPT_FROM,
  QG_OPT_TO,
  QG_OPT_COUNT,
  QG_OPT_INTERVAL,
  QG_OPT_ONCE,
  QG_OPT_AGAINST,
  QG_N_OPTS
} QgOpt;

/** The parsed command line. */
typedef struct
{
  guint32 given; /**< bit 1 << QgOpt of each option that is present */
  const char *text[QG_N_OPTS]; /**< values as given */
  guint64 number[QG_N_OPTS];   /**< parsed values of numeric options */
  GPtrArray *removed;          /**< section ids given by --remove */
  int n_args;                  /**< number of arguments after the command */
  char **args;
} QgCliOptions;

/** A client that addresses the control members as one server. */
typedef struct QgClient QgClient;

/** An answer of the control members; freed by qg_cli_answer_clear(). */
typedef struct
{
  int http;   /**< HTTP status code */
  char *text; /**< the body, NUL terminated */
  gsize len;
  guint64 revision; /**< the QG-Revision header, 0 if absent */
  JsonNode *json;   /**< the parsed body, NULL if it is not JSON */
} QgCliAnswer;

#define qg_opt_given(options, opt) (((options)->given >> (opt)) & 1)

/* client.c */

/**
 * @param addresses "ip:port;ip:port".
 * @param timeout limit of one call, over all members together.
 */
QgClient *qg_client_new (const char *addresses, const char *key,
                         QgTime timeout);
void qg_client_free (QgClient *client);

/**
 * Calls the members in turn until the leader answers. Each attempt sends the
 * same body: a change carries its change id, so that a retry after a lost
 * answer does not apply the change twice.
 *
 * @return QG_OK, or the reason of the refusal; QG_E_UNKNOWN when no answer came
 *   in time and the call may have taken effect.
 */
QgStatus qg_client_call (QgClient *client, const char *method, const char *path,
                         const char *body, QgCliAnswer *answer, QgErr *err);
void qg_cli_answer_clear (QgCliAnswer *answer);

/* Read a member of a JSON object. A member that is missing or has another type
 * reads as "", 0, FALSE or NULL. */
const char *qg_json_member_string (JsonObject *object, const char *name);
guint64 qg_json_member_number (JsonObject *object, const char *name);
gboolean qg_json_member_is_true (JsonObject *object, const char *name);
JsonArray *qg_json_member_array (JsonObject *object, const char *name);

/* main.c */

/** Creates a client from the options; NULL with @a err. */
QgClient *qg_cli_client_new (const QgCliOptions *options, QgErr *err);
/** Prints the error to stderr and returns its exit code. */
int qg_cli_print_error (const QgErr *err);
/** Calls the control members and prints the answer: as JSON with --json, and
 * by @a print without --json. Returns the exit code. */
int qg_cli_call_and_print (const QgCliOptions *options, const char *method,
                           const char *path, const char *body,
                           void (*print) (JsonObject *answer));

/* change.c */

/** Sends a change and prints the result; with --wait, waits until the change is
 * in force. Consumes @a members, the JSON members of the change except its id.
 */
int qg_cli_send_change (const QgCliOptions *options, JsonBuilder *members);
/** Sends a change of one key. @a create: adds the section if it is missing. */
int qg_cli_send_edit (const QgCliOptions *options, const char *section,
                      const char *key, const char *value, gboolean create);

/* The commands; each returns the exit code. */
int qg_cmd_check (const QgCliOptions *options);
/** Checks a configuration document; in cmd_document.c. */
int qg_cli_check_document (const QgCliOptions *options);
int qg_cmd_apply (const QgCliOptions *options);
int qg_cmd_get (const QgCliOptions *options);
int qg_cmd_diff (const QgCliOptions *options);
int qg_cmd_history (const QgCliOptions *options);
int qg_cmd_dc (const QgCliOptions *options);
int qg_cmd_target (const QgCliOptions *options);
int qg_cmd_member (const QgCliOptions *options);
int qg_cmd_quarantine (const QgCliOptions *options);
int qg_cmd_rollout (const QgCliOptions *options);
int qg_cmd_status (const QgCliOptions *options);
int qg_cmd_top (const QgCliOptions *options);
int qg_cmd_explain (const QgCliOptions *options);

/* cmd_status.c */
void qg_print_status (JsonObject *status);

G_END_DECLS

#endif
