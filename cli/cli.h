/**
 * @file cli.h
 * What the commands of the operators' tool share: the options, the calls to
 * the control members, and output.
 */
#ifndef QG_CLI_H
#define QG_CLI_H

#include "lib/doc.h"

#include <json-glib/json-glib.h>

G_BEGIN_DECLS

/** Options that take part in one command line. */
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
  QG_N_OPTS
} QgOpt;

/** The command line, read. */
typedef struct
{
  guint32 given; /**< bits of QgOpt */
  const char *text[QG_N_OPTS];
  guint64 number[QG_N_OPTS];
  GPtrArray *removed; /**< ids given by --remove */
  int n_args;         /**< what follows the command */
  char **args;
} QgCliOptions;

/** The control members as one server. */
typedef struct QgClient QgClient;

/** One answer of it; cleared by qg_answer_clear(). */
typedef struct
{
  int http;
  char *text; /**< the body, NUL terminated */
  gsize len;
  guint64 revision; /**< the QG-Revision header, 0 without */
  JsonNode *json;   /**< when the body is JSON */
} QgAnswer;

#define qg_opt_given(options, opt) (((options)->given >> (opt)) & 1)

/* client.c */

/**
 * @param addresses "ip:port;ip:port".
 * @param timeout how long a call may take over all members.
 */
QgClient *qg_client_new (const char *addresses, const char *key,
                         QgTime timeout);
void qg_client_free (QgClient *client);

/**
 * Calls one member after the other until one that leads answers. The same
 * body is sent each time: a change carries its change id, so that a lost
 * answer is asked for again and nothing is applied twice.
 *
 * @return QG_OK, or the kind of the refusal; QG_E_UNKNOWN when the call may
 *         have been taken but no answer came in time.
 */
QgStatus qg_client_call (QgClient *client, const char *method, const char *path,
                         const char *body, QgAnswer *answer, QgErr *err);
void qg_answer_clear (QgAnswer *answer);

/* Members of a JSON object, with a fallback for what is not there. */
const char *qg_member_string (JsonObject *object, const char *name);
guint64 qg_member_number (JsonObject *object, const char *name);
gboolean qg_member_is_true (JsonObject *object, const char *name);
JsonArray *qg_member_array (JsonObject *object, const char *name);

/* main.c */

/** The client that the options describe; NULL with @a err. */
QgClient *qg_cli_client (const QgCliOptions *options, QgErr *err);
/** Prints the error and returns its exit code. */
int qg_cli_fail (const QgErr *err);
/** Calls and prints: the JSON with --json, else by @a print. Returns the exit
 * code. */
int qg_cli_show (const QgCliOptions *options, const char *method,
                 const char *path, const char *body,
                 void (*print) (JsonObject *answer));

/* change.c */

/** Sends a change and prints what became of it; waits with --wait. Takes
 * @a members, the JSON of the change without its id. */
int qg_cli_change (const QgCliOptions *options, JsonBuilder *members);
/** A change of one key; @a create: makes the section. */
int qg_cli_edit (const QgCliOptions *options, const char *section,
                 const char *key, const char *value, gboolean create);

/* the commands; each returns the exit code */
int qg_cmd_check (const QgCliOptions *options);
int qg_cmd_apply (const QgCliOptions *options);
int qg_cmd_get (const QgCliOptions *options);
int qg_cmd_diff (const QgCliOptions *options);
int qg_cmd_history (const QgCliOptions *options);
int qg_cmd_dc (const QgCliOptions *options);
int qg_cmd_target (const QgCliOptions *options);
int qg_cmd_member (const QgCliOptions *options);
int qg_cmd_quarantine (const QgCliOptions *options);
int qg_cmd_status (const QgCliOptions *options);
int qg_cmd_top (const QgCliOptions *options);
int qg_cmd_explain (const QgCliOptions *options);

/* cmd_status.c */
void qg_print_status (JsonObject *status);

G_END_DECLS

#endif
