/** Types that the messages of several services share. */
namespace java org.sequoiahill.protocol.gen

/**
 * Identifies the process that sent a message, and states the configuration revision that it holds,
 * so that a receiver with a lower one can fetch the configuration.
 */
struct Sender {
  /** Name of the sender's VM. */
  1: string vm
  2: string dataCentre
  /** Increases with each start of the process: its start time in Unix milliseconds. */
  3: i64 incarnation
  /** Highest configuration revision that the sender holds; 0 if it holds none. */
  4: i64 configRevision
  /** Version of the protocol between the daemons. */
  5: i32 protocolVersion
}
