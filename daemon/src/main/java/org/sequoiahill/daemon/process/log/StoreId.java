package org.sequoiahill.daemon.process.log;

/**
 * One life of the storage of a store VM; an empty data folder makes a new one.
 *
 * @param vm name of the VM
 * @param incarnation number that rises with each new data folder; 0 where it isn't known yet
 */
public record StoreId(String vm, long incarnation) {
    /** Returns whether the storage is not known yet. */
    public boolean isIncarnationUnknown() {
        return incarnation == 0;
    }

    @Override
    public String toString() {
        return vm + "/" + incarnation;
    }
}
