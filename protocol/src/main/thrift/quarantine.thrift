include "common.thrift"
namespace java org.sequoiahill.protocol.gen

/** A request that was in flight when endpoints died. */
struct SuspectRequest {
  /** SHA-256 over organisation, method, path and body. */
  1: binary fingerprint
  /** Names of the deaths; at most two are kept. */
  2: list<i64> deaths
  3: i64 ageMillis
}

struct SuspectList {
  1: common.Sender sender
  2: list<SuspectRequest> suspects
}

service Suspects {
  /** Tells an entry of suspects; answers with the newest that it knows itself. */
  SuspectList tell(1: SuspectList suspects)
}
