package org.sequoiahill.cli;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;
import org.jspecify.annotations.Nullable;

/** Refuses an option that no command knows where a word is expected. */
public final class ArgumentValidator implements IParameterValidator {
    /** Makes a validator; called by the library. */
    public ArgumentValidator() {}

    @Override
    public void validate(@Nullable String name, String value) {
        if (value.startsWith("-")) {
            throw new ParameterException(value + " is not a known option");
        }
    }
}
