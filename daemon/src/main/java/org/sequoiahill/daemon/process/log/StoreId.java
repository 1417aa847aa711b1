package org.sequoiahill.daemon.process.log;

/**
 * A store VM and the incarnation of its storage; an empty data folder gets a new incarnation.
 *
 * @param vm name of the VM
 * @param incarnation number that increases with each new data folder; 0 if unknown
 */
public record StoreId(String vm, long incarnation) {
    /** Returns whether the incarnation is not known yet. */
    public boolean isIncarnationUnknown() {
        return incarnation == 0;
    }

    @Override
    public String toString() {
        return vm + "/" + incarnation;
    }
}
