package org.sequoiahill.cli;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;
import org.jspecify.annotations.Nullable;

/** Refuses unknown options, which JCommander would accept as positional arguments. */
public final class ArgumentValidator implements IParameterValidator {
    /** Creates a validator; called by JCommander. */
    public ArgumentValidator() {}

    @Override
    public void validate(@Nullable String name, String value) {
        if (value.startsWith("-")) {
            throw new ParameterException(value + " is not a known option");
        }
    }
}
