package org.sequoiahill.bench.capacity;

/**
 * Usage of one daemon of a role at one size.
 *
 * @param size value of the quantity that is varied
 * @param cores CPU time per second of a daemon, in cores
 * @param bytesPerSecond control bytes that a daemon sends and receives per second
 * @param residentBytes resident memory of a daemon; zero if daemons share a process
 */
record Sample(double size, double cores, double bytesPerSecond, double residentBytes) {}
