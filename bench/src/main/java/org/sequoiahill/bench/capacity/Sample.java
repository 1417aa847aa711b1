package org.sequoiahill.bench.capacity;

/**
 * Usage of a daemon of one role at one size.
 *
 * @param size value of the quantity that is varied
 * @param cores CPU time per second of a daemon, in cores; the mean if daemons share a process
 * @param bytesPerSecond control bytes that one daemon sends and receives per second
 * @param residentBytes resident memory of a daemon; zero if daemons share a process
 */
record Sample(double size, double cores, double bytesPerSecond, double residentBytes) {}
