package org.sequoiahill.daemon.connection;

import java.util.Locale;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;

/** How the end of a response's body is marked (RFC 9112, section 6.3). */
public enum ResponseFraming {
    /** The headers state the length. */
    LENGTH,
    /** A last chunk of size zero ends the body. */
    CHUNKED,
    /** The end of the connection ends the body, so a truncated body can look complete. */
    CLOSE;

    /** Returns the framing of a response to a request that allows a body. */
    public static ResponseFraming of(Response response) {
        HttpFields headers = response.getHeaders();
        if (headers.contains(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString())) {
            return CHUNKED;
        }
        return headers.contains(HttpHeader.CONTENT_LENGTH) ? LENGTH : CLOSE;
    }

    /** Returns the name in lower case, for logs. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
