namespace java org.sequoiahill.protocol.gen

/** Who sent a message; carried by every message between the system's own processes. */
struct Sender {
  1: string vm
  2: string dataCentre
  /** Rises with each start of the process. */
  3: i64 incarnation
  /** Highest configuration revision that the sender holds. */
  4: i64 configRevision
  5: i32 protocolVersion
}
