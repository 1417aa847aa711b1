package org.sequoiahill.bench.capacity;

/**
 * What one role used at one size.
 *
 * @param size the size that is varied
 * @param cores processor time a second and daemon, in cores
 * @param bytesPerSecond control bytes sent and received, a second and daemon
 * @param residentBytes memory of a daemon; zero where daemons share a process
 */
record Sample(double size, double cores, double bytesPerSecond, double residentBytes) {}
